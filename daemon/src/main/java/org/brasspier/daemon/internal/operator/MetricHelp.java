package org.brasspier.daemon.internal.operator;

import java.util.Map;
import java.util.Optional;

/**
 * What each metric means, in the words that monitoring systems show. Stateless and
 * thread-safe.
 */
final class MetricHelp {

	private static final String FAILED = "requests.failed.";

	private static final String DUTY = "duty_cpu_millis_";

	private static final Map<String, String> TEXTS = Map.ofEntries(
			Map.entry("document_version", "version of the configuration document in force in this daemon"),
			Map.entry("document_read", "1 once this daemon knows which document is in force, else 0"),
			Map.entry("document_versions_skipped", "versions told by heartbeats that a full ring could not take"),
			Map.entry("events_lost", "events of the time line that a full ring could not take"),
			Map.entry("lease_millis_left", "milliseconds that the lease of this instance still runs"),
			Map.entry("cell_members", "members of the cell that this daemon knows"),
			Map.entry("cell_ranges_without_owner", "ranges of the cell that nobody owns"),
			Map.entry("requests_running", "requests that hold a slot of the backend server"),
			Map.entry("requests_waiting", "requests that wait for a slot of the backend server"),
			Map.entry("heap_used_bytes", "bytes of the heap in use"),
			Map.entry("process_cpu_millis", "processor time since the start, in milliseconds"),
			Map.entry("control.bytes", "bytes sent to control ports of other daemons"),
			Map.entry("table.reads", "reads of the platform's table for ownership"),
			Map.entry("table.writes", "writes of the platform's table for ownership"),
			Map.entry("callers.malformed", "requests of callers that were malformed"),
			Map.entry("backend.malformed", "calls of the backend server that were malformed"),
			Map.entry("peers.refused", "connections of other daemons that were refused or malformed"),
			Map.entry("requests.answered", "requests of callers that were answered"));

	private MetricHelp() {
	}

	static Optional<String> of(String metric) {
		if (metric.startsWith(DUTY)) {
			return Optional.of("processor time of the thread of %s since the start, in milliseconds"
				.formatted(metric.substring(DUTY.length())));
		}
		return (metric.startsWith(FAILED))
				? Optional.of("requests of callers that ended with the error " + metric.substring(FAILED.length()))
				: Optional.ofNullable(TEXTS.get(metric));
	}

}
