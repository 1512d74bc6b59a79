package org.brasspier.standins;

import java.util.Optional;

import io.activej.http.HttpRequest;

/**
 * What a caller asks a stand-in server to do, by the path and query of its request:
 * {@code /anything?work=MILLIS&pad=CHARACTERS&ask=SERVICE:KEY}, or {@code /crash}.
 * Immutable and thread-safe.
 *
 * @param crash whether the server ends at once
 * @param workMillis how long the work takes; -1 for what is usual
 * @param padding how many characters the answer is padded with
 * @param internalCall the service and key of an internal call made on the way, empty if
 * none
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
