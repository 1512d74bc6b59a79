package org.brasspier.daemon.internal.ownership;

import java.util.List;

import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.CrashMark;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.ownership.RangeLoad;

/**
 * What the thread of requests tells the thread of ownership, through a ring. Immutable
 * and thread-safe.
 */
public sealed interface RequestsReport {

	/**
	 * Nothing of a range is in flight any more, nor will be under this fence.
	 *
	 * @param held the range with the fence it was held under
	 * @param marks the marks that go with it, the latest {@link CrashMark#MAX_PER_RANGE}
	 */
	record RangeDrained(HeldRange held, List<CrashMark> marks) implements RequestsReport {

		public RangeDrained {
			marks = List.copyOf(marks);
		}

	}

	/**
	 * The backend server beside this daemon, on each change and at least once a second.
	 *
	 * @param service its service
	 * @param state what may be done with it
	 * @param address its IP number and port
	 * @param slots how many requests it runs at once
	 * @param connections how many connections it accepts
	 * @param checksFences whether it refuses orders under an old fence
	 * @param coldStartMillis how long it takes to be warm, in milliseconds
	 */
	record BackendStatus(ServiceName service, BackendState state, String address, int slots, int connections,
			boolean checksFences, int coldStartMillis) implements RequestsReport {

	}

	/**
	 * The load of the ranges held, about once a second.
	 *
	 * @param service the service
	 * @param loads one entry for each range held
	 */
	record RangeLoads(ServiceName service, List<RangeLoad> loads) implements RequestsReport {

		public RangeLoads {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * What may be done with a backend server.
	 */
	enum BackendState {

		/** It has announced itself but can't serve yet. */
		STARTING,

		/** It may own ranges. */
		READY,

		/** It wants to stop: what it owns must go. */
		DRAINING,

		/** It is gone: its port refuses, or its announcements have stopped. */
		LOST

	}

}
