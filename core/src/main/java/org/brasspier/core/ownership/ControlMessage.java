package org.brasspier.core.ownership;

import java.util.List;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * Messages between the daemons of a cell. Any message may be lost, delayed or duplicated;
 * what must arrive is repeated until its effect is visible. Times are spans or belong to
 * the clock of the process that gets them back; times of different clocks are never
 * compared. Immutable and thread-safe.
 */
public sealed interface ControlMessage {

	/**
	 * Tells a lease manager that a member is alive.
	 *
	 * @param incarnation the sender's incarnation
	 * @param sentAt time of sending, on the sender's clock
	 * @param epoch the epoch that the sender has acknowledged
	 * @param version the version of the row that the sender knows
	 * @param leaseLeft remaining time of its lease, 0 if it has none
	 * @param document the version of the configuration document that is in force at the
	 * sender
	 */
	record Heartbeat(int incarnation, long sentAt, long epoch, long version, long leaseLeft,
			long document) implements ControlMessage {

	}

	/**
	 * A lease manager's answer to a heartbeat.
	 *
	 * @param incarnation the incarnation of the receiver
	 * @param sentAt the value from the heartbeat
	 * @param epoch the manager's epoch
	 * @param version the minimum version of the row that a member whose lease has expired
	 * must know before it may hold anything again
	 * @param lease duration of the lease from sentAt, 0 if it is not renewed
	 * @param document the version of the configuration document that is in force at the
	 * manager
	 */
	record Renewal(int incarnation, long sentAt, long epoch, long version, long lease,
			long document) implements ControlMessage {

	}

	/**
	 * A lease manager's request for confirmation by the other one.
	 *
	 * @param incarnation the sender's incarnation
	 * @param sentAt time of sending, on the sender's clock
	 * @param epoch the sender's epoch
	 * @param version the version of the row that the sender knows
	 * @param revoking members that the primary asks the receiver not to renew; empty from
	 * a secondary
	 */
	record Beat(int incarnation, long sentAt, long epoch, long version,
			List<MemberKey> revoking) implements ControlMessage {

	}

	/**
	 * The other manager's answer to a beat.
	 *
	 * @param incarnation the incarnation of the receiver
	 * @param sentAt the value from the beat
	 * @param epoch the sender's epoch
	 * @param confirmed whether the receiver may continue to renew leases
	 * @param tableAge time since the sender's epoch was last seen in the table
	 * @param promises members that the sender will not renew
	 */
	record BeatAnswer(int incarnation, long sentAt, long epoch, boolean confirmed, long tableAge,
			List<Promised> promises) implements ControlMessage {

	}

	/**
	 * A promise not to renew a member.
	 *
	 * @param member the member
	 * @param leaseLeft the longest remaining time of its lease that the sender knows of;
	 * if negative, the time since it expired
	 */
	record Promised(MemberKey member, long leaseLeft) {

	}

	/**
	 * The row, sent only after it was certainly written.
	 *
	 * @param row the row
	 */
	record RowUpdate(VersionedRow row) implements ControlMessage {

	}

	/**
	 * The changes in the row, sent only after the new row was certainly written.
	 *
	 * @param delta the difference
	 */
	record RowDifference(RowDelta delta) implements ControlMessage {

	}

	/**
	 * Requests the whole row after a difference that does not apply to the sender's row.
	 *
	 * @param version the version of the row that the sender knows
	 */
	record RowRequest(long version) implements ControlMessage {

	}

	/**
	 * A request to become a member, or an announcement of changed member information.
	 *
	 * @param member the sender
	 */
	record Announce(MemberInfo member) implements ControlMessage {

	}

	/**
	 * The primary's request to a member to release ranges.
	 *
	 * @param ranges the ranges
	 */
	record Release(List<HeldRange> ranges) implements ControlMessage {

	}

	/**
	 * Tells the primary that a member has released ranges and will not hold them under
	 * this fence again.
	 *
	 * @param incarnation the sender's incarnation
	 * @param ranges the ranges with their marks
	 */
	record Released(int incarnation, List<ReleasedRange> ranges) implements ControlMessage {

	}

	/**
	 * A released range.
	 *
	 * @param held the range
	 * @param marks the crash marks of the range
	 */
	record ReleasedRange(HeldRange held, List<CrashMark> marks) {

	}

	/**
	 * The load of a member's ranges.
	 *
	 * @param service the service
	 * @param loads one entry for each range
	 */
	record Loads(ServiceName service, List<RangeLoad> loads) implements ControlMessage {

	}

	/**
	 * Asks another member whether it hears a lease manager; sent by a member that hears
	 * none.
	 */
	record Probe() implements ControlMessage {

	}

	/**
	 * The answer to a probe.
	 *
	 * @param incarnation the sender's incarnation
	 * @param epoch the epoch that the sender has acknowledged
	 * @param heardAgo time since it last heard of a lease manager; 0 if it is one itself
	 */
	record ProbeAnswer(int incarnation, long epoch, long heardAgo) implements ControlMessage {

	}

	/**
	 * An operator's order, forwarded to the primary.
	 *
	 * @param number the number of the order at the daemon that received it
	 * @param order the order
	 */
	record OrderSent(long number, Order order) implements ControlMessage {

	}

	/**
	 * The primary's answer to an order.
	 *
	 * @param number the number of the order
	 * @param accepted whether it was accepted
	 * @param detail a sentence for the operator
	 */
	record OrderAnswer(long number, boolean accepted, String detail) implements ControlMessage {

	}

	/**
	 * An operator's order.
	 */
	sealed interface Order {

		/**
		 * Drains an instance, so that it loses all its ranges, or reverses that.
		 *
		 * @param instance the instance
		 * @param drained whether the instance is drained
		 */
		record Drain(InstanceId instance, boolean drained) implements Order {

		}

		/**
		 * Moves a range.
		 *
		 * @param service the service
		 * @param range the range
		 * @param to the new owner
		 */
		record Move(ServiceName service, KeyRange range, InstanceId to) implements Order {

		}

		/**
		 * States that the current process of an instance has ended for good.
		 *
		 * @param instance the instance
		 */
		record DeclareLost(InstanceId instance) implements Order {

		}

	}

}
