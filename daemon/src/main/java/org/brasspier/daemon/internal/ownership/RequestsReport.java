package org.brasspier.daemon.internal.ownership;

import java.util.List;

import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.CrashMark;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.ownership.RangeLoad;

/**
 * A report from the request thread to the ownership thread, sent through a ring.
 * Immutable and thread-safe.
 */
public sealed interface RequestsReport {

	/**
	 * No request of a range is in flight, and none will be admitted under this fence.
	 *
	 * @param held the range with the fence it was held under
	 * @param marks the crash marks of the range, the latest
	 * {@link CrashMark#MAX_PER_RANGE}
	 */
	record RangeDrained(HeldRange held, List<CrashMark> marks) implements RequestsReport {

		public RangeDrained {
			marks = List.copyOf(marks);
		}

	}

	/**
	 * The state of this instance's backend server, sent on each change and at least once
	 * a second.
	 *
	 * @param service its service
	 * @param state its state
	 * @param address its IP address and port
	 * @param slots how many requests it runs concurrently
	 * @param connections how many connections it accepts
	 * @param checksFences whether it refuses orders under an old fence
	 * @param coldStartMillis its warm-up time, in milliseconds
	 */
	record BackendStatus(ServiceName service, BackendState state, String address, int slots, int connections,
			boolean checksFences, int coldStartMillis) implements RequestsReport {

	}

	/**
	 * The load of the held ranges, sent about once a second.
	 *
	 * @param service the service
	 * @param loads one entry for each held range
	 */
	record RangeLoads(ServiceName service, List<RangeLoad> loads) implements RequestsReport {

		public RangeLoads {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * The state of a backend server.
	 */
	enum BackendState {

		/** It has announced itself but can't serve requests yet. */
		STARTING,

		/** It may own ranges. */
		READY,

		/** It is about to stop: its ranges must move to other instances. */
		DRAINING,

		/**
		 * It is lost: its port refuses connections, or its announcements have stopped.
		 */
		LOST

	}

}
