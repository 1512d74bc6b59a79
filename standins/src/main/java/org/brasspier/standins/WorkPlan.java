package org.brasspier.standins;

import java.util.Optional;

import io.activej.http.HttpRequest;

/**
 * The work that a caller requests of a stand-in server, in the path and query of its
 * request: {@code /anything?work=MILLIS&pad=CHARACTERS&ask=SERVICE:KEY}, or
 * {@code /crash}. Immutable and thread-safe.
 *
 * @param crash whether the server's process exits as soon as the order has begun
 * @param workMillis duration of the work; -1 for the default of its request class
 * @param padding number of characters that pad the answer
 * @param internalCall service and key of an internal call to make before the work, empty
 * if none
 */
record WorkPlan(boolean crash, int workMillis, int padding, String internalCall) {

	private static final int MAX_PADDING = 1 << 21;

	private static final String CRASH_PATH = "/crash";

	static WorkPlan of(HttpRequest request) {
		return new WorkPlan(request.getPath().equals(CRASH_PATH), intParameter(request, "work", -1),
				Math.min(intParameter(request, "pad", 0), MAX_PADDING),
				Optional.ofNullable(request.getQueryParameter("ask")).orElse(""));
	}

	private static int intParameter(HttpRequest request, String name, int defaultValue) {
		String text = request.getQueryParameter(name);
		return (text != null && text.matches("[0-9]{1,8}")) ? Integer.parseInt(text) : defaultValue;
	}

}
