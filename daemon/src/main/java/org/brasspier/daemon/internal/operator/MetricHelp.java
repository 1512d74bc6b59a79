package org.brasspier.daemon.internal.operator;

import java.util.Map;
import java.util.Optional;

/**
 * What each metric means, in the words that monitoring systems show. Stateless and
 * thread-safe.
 */
final class MetricHelp {

	private static final String FAILED_REQUESTS_PREFIX = "requests.failed.";

	private static final String EVENTS_PREFIX = "events.";

	private static final String DUTY_CPU_PREFIX = "duty_cpu_millis_";

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
			Map.entry("gate_running", "requests at which the backend server is"),
			Map.entry("gate_waiting", "requests that wait for the backend server"),
			Map.entry("backend_slots", "requests that the backend server runs at once"),
			Map.entry("backend_ready", "1 while the backend server takes work, else 0"),
			Map.entry("mesh_lease_millis_left", "milliseconds for which this instance may grant keys"),
			Map.entry("mesh_spans_held", "spans of keys that are this instance's by the newest known map"),
			Map.entry("config_version", "version of the operators' configuration in force"),
			Map.entry("config_millis_in_force", "milliseconds since it came into force here"),
			Map.entry("mesh_instances_known", "instances that this daemon knows"),
			Map.entry("mesh_rows_version", "newest version among the rows of instances and keys known here"),
			Map.entry("start_time_millis", "when this process started, in milliseconds of the Unix epoch"),
			Map.entry("loop_lag_millis", "milliseconds that the thread of requests is behind"),
			Map.entry("store.calls.answered", "calls of the platform's store that were answered"),
			Map.entry("store.calls.failed", "calls of the platform's store that were not answered, or refused"),
			Map.entry("request.millis", "milliseconds from reading a request to its answer"),
			Map.entry("log.dropped", "log lines left out since too many of one kind came"),
			Map.entry("requests.answered", "requests of callers that were answered"));

	private MetricHelp() {
	}

	static Optional<String> of(String metric) {
		if (metric.startsWith(DUTY_CPU_PREFIX)) {
			return Optional.of("processor time of the thread of %s since the start, in milliseconds"
				.formatted(metric.substring(DUTY_CPU_PREFIX.length())));
		}
		if (metric.startsWith(EVENTS_PREFIX)) {
			return Optional.of("events of the kind %s; docs/OPERATIONS.md lists them"
				.formatted(metric.substring(EVENTS_PREFIX.length())));
		}
		return (metric.startsWith(FAILED_REQUESTS_PREFIX)) ? Optional
			.of("requests of callers that ended with the error " + metric.substring(FAILED_REQUESTS_PREFIX.length()))
				: Optional.ofNullable(TEXTS.get(metric));
	}

}
