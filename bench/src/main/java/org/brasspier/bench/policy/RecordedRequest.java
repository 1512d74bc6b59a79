package org.brasspier.bench.policy;

import java.time.Duration;

import org.brasspier.core.CallerId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.RequestClass;

/**
 * A request of a recorded load.
 *
 * @param number its index in the recording
 * @param atNanos when its caller first sends it
 * @param keyHash the hash of its key
 * @param requestClass its class
 * @param caller the caller that sends it
 * @param runNanos its run time on a healthy server
 * @param entryDaemon the index of the daemon that receives it
 */
record RecordedRequest(int number, long atNanos, KeyHash keyHash, RequestClass requestClass, CallerId caller,
		long runNanos, int entryDaemon) {

	long timeoutNanos() {
		return switch (this.requestClass) {
			case INTERNAL, LOOKUP -> Duration.ofSeconds(1).toNanos();
			case POSTING -> Duration.ofSeconds(5).toNanos();
			case AUDIT -> Duration.ofSeconds(60).toNanos();
		};
	}

}
