package org.brasspier.bench.policy;

import java.time.Duration;

import org.brasspier.core.CallerId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.RequestClass;

/**
 * A recorded request.
 *
 * @param number its place in the recording
 * @param atNanos when its caller first sends it
 * @param keyHash its point
 * @param requestClass its class
 * @param caller who sends it
 * @param runNanos how long a healthy server runs it
 * @param entryDaemon the daemon that it enters by
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
