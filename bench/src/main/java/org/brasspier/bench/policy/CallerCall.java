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
 * @param hash its point
 * @param requestClass its class
 * @param caller who sends it
 * @param runNanos how long a healthy server runs it
 * @param entry the daemon that it enters by
 */
record CallerCall(int number, long atNanos, KeyHash hash, RequestClass requestClass, CallerId caller, long runNanos,
		int entry) {

	long patienceNanos() {
		return switch (this.requestClass) {
			case INTERNAL, LOOKUP -> Duration.ofSeconds(1).toNanos();
			case POSTING -> Duration.ofSeconds(5).toNanos();
			case AUDIT -> Duration.ofSeconds(60).toNanos();
		};
	}

}
