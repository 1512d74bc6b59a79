package org.brasspier.core.ownership;

import java.util.List;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * What daemons of a cell tell each other. Each message may be lost, late or doubled;
 * whatever must arrive is sent again until its effect shows. Times are spans or belong to
 * the clock of the process that gets them back; no two clocks are compared. Immutable and
 * thread-safe.
 */
public sealed interface ControlMessage {

	/**
	 * A member tells a lease manager that it's alive.
	 *
	 * @param incarnation the sender's incarnation
	 * @param sentAt when it was sent, on the sender's clock
	 * @param epoch the epoch the sender has acknowledged
	 * @param version the version of the row the sender knows
	 * @param leaseLeft how long its lease runs from now, 0 if it has none
	 * @param document the version of the configuration document it has in force
	 */
	record Heartbeat(int incarnation, long sentAt, long epoch, long version, long leaseLeft,
			long document) implements ControlMessage {

	}

	/**
	 * A lease manager's answer to a heartbeat.
	 *
	 * @param incarnation the incarnation of the member it is for
	 * @param sentAt from the heartbeat
	 * @param epoch the manager's epoch
	 * @param version a member whose lease has run out needs at least this version of the
	 * row before it may hold anything again
	 * @param lease how long the lease runs from sentAt, 0 if it's not renewed
	 * @param document the version of the configuration document the manager has in force
	 */
	record Renewal(int incarnation, long sentAt, long epoch, long version, long lease,
			long document) implements ControlMessage {

	}

	/**
	 * A lease manager asks the other one to confirm it.
	 *
	 * @param incarnation the sender's incarnation
	 * @param sentAt when it was sent, on the sender's clock
	 * @param epoch the sender's epoch
	 * @param version the version of the row the sender knows
	 * @param revoking members that the primary wants nobody to renew; empty from a
	 * secondary
	 */
	record Beat(int incarnation, long sentAt, long epoch, long version,
			List<MemberKey> revoking) implements ControlMessage {

	}

	/**
	 * The other manager's answer to a beat.
	 *
	 * @param incarnation the incarnation of the manager it is for
	 * @param sentAt from the beat
	 * @param epoch the sender's epoch
	 * @param confirmed whether the asking manager may go on renewing
	 * @param tableAge how long ago the sender's epoch was last seen in the table
	 * @param promises members that the sender will not renew
	 */
	record BeatAnswer(int incarnation, long sentAt, long epoch, boolean confirmed, long tableAge,
			List<Promised> promises) implements ControlMessage {

	}

	/**
	 * A promise not to renew a member.
	 *
	 * @param member the member
	 * @param leaseLeft how long its lease may run as far as the sender knows; if
	 * negative, how long ago it ran out
	 */
	record Promised(MemberKey member, long leaseLeft) {

	}

	/**
	 * The row, after it was certainly written.
	 *
	 * @param row the row
	 */
	record RowUpdate(VersionedRow row) implements ControlMessage {

	}

	/**
	 * What changed in the row, after the new one was certainly written.
	 *
	 * @param delta the difference
	 */
	record RowDifference(RowDelta delta) implements ControlMessage {

	}

	/**
	 * Asks for the whole row: a difference came that doesn't apply to the sender's.
	 *
	 * @param version the version of the row the sender knows
	 */
	record RowRequest(long version) implements ControlMessage {

	}

	/**
	 * A process asks to be a member, or says that it has changed.
	 *
	 * @param member the sender
	 */
	record Announce(MemberInfo member) implements ControlMessage {

	}

	/**
	 * The primary asks a member to let go of ranges.
	 *
	 * @param ranges the ranges
	 */
	record Release(List<HeldRange> ranges) implements ControlMessage {

	}

	/**
	 * A member has let go of ranges and will not hold them under this fence again.
	 *
	 * @param incarnation the sender's incarnation
	 * @param ranges the ranges with their marks
	 */
	record Released(int incarnation, List<ReleasedRange> ranges) implements ControlMessage {

	}

	/**
	 * A range that was let go of.
	 *
	 * @param held the range
	 * @param marks the marks that go with it
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
	 * A member that hears no lease manager asks the others whether they do.
	 */
	record Probe() implements ControlMessage {

	}

	/**
	 * The answer to a probe.
	 *
	 * @param incarnation the sender's incarnation
	 * @param epoch the epoch the sender has acknowledged
	 * @param heardAgo how long ago it heard of a lease manager; 0 if it is one itself
	 */
	record ProbeAnswer(int incarnation, long epoch, long heardAgo) implements ControlMessage {

	}

	/**
	 * An operator's order on its way to the primary.
	 *
	 * @param number the number of the order at the daemon that took it
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
		 * Takes all ranges from an instance, or lets it own ranges again.
		 *
		 * @param instance the instance
		 * @param out whether it is taken out of service
		 */
		record Drain(InstanceId instance, boolean out) implements Order {

		}

		/**
		 * Moves a range.
		 *
		 * @param service the service
		 * @param range the range
		 * @param to who gets it
		 */
		record Move(ServiceName service, KeyRange range, InstanceId to) implements Order {

		}

		/**
		 * States that the present process of an instance is gone for good.
		 *
		 * @param instance the instance
		 */
		record DeclareLost(InstanceId instance) implements Order {

		}

	}

}
