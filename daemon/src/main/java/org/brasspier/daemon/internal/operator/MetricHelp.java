package org.brasspier.daemon.internal.operator;

import java.util.Map;
import java.util.Optional;

/**
 * The help texts of the metrics, which monitoring systems display. Stateless and
 * thread-safe.
 */
final class MetricHelp {

	private static final String FAILED_REQUESTS_PREFIX = "requests.failed.";

	private static final String EVENTS_PREFIX = "events.";

	private static final String DUTY_CPU_PREFIX = "duty_cpu_millis_";

	private static final Map<String, String> TEXTS = Map.ofEntries(
			Map.entry("document_version", "version of the configuration document in force in this daemon"),
			Map.entry("document_read", "1 if this daemon knows which document is in force, else 0"),
			Map.entry("document_versions_skipped",
					"document versions from heartbeats that were dropped because the ring was full"),
			Map.entry("events_lost", "events that were dropped because the ring of the event log was full"),
			Map.entry("lease_millis_left", "milliseconds until the lease of this instance expires"),
			Map.entry("cell_members", "members of the cell that this daemon knows"),
			Map.entry("cell_ranges_without_owner", "ranges of the cell that have no owner"),
			Map.entry("requests_running", "requests that hold a slot of the backend server"),
			Map.entry("requests_waiting", "requests that wait for a slot of the backend server"),
			Map.entry("heap_used_bytes", "heap memory in use, in bytes"),
			Map.entry("process_cpu_millis", "CPU time of the process since its start, in milliseconds"),
			Map.entry("control.bytes", "bytes sent to the control ports of other daemons"),
			Map.entry("table.reads", "reads of the platform's table by the ownership thread"),
			Map.entry("table.writes", "writes of the platform's table by the ownership thread"),
			Map.entry("callers.malformed", "malformed requests from callers"),
			Map.entry("refusals.own_capacity", "callers refused for lack of capacity of the service"),
			Map.entry("refusals.calls", "callers refused for lack of capacity for calls"),
			Map.entry("refusals.link", "callers refused for lack of link capacity"),
			Map.entry("refusals.early_return", "callers refused that came back sooner than they were told"),
			Map.entry("returns.on_time", "refused callers that came back when they were told"),
			Map.entry("returns.on_time_answered", "answered callers that came back when they were told"),
			Map.entry("returns.early", "refused callers that came back sooner than they were told"),
			Map.entry("backend.malformed", "malformed calls from the backend server"),
			Map.entry("peers.refused", "connections of other daemons that were refused or malformed"),
			Map.entry("gate_running", "requests that the backend server is running"),
			Map.entry("gate_waiting", "requests that wait for the backend server"),
			Map.entry("gate_outstanding_work_millis",
					"run time that the running and waiting requests of the backend server still need"),
			Map.entry("services_chosen_by_reports", "services whose servers are chosen by reported load"),
			Map.entry("backend_slots", "requests that the backend server runs concurrently"),
			Map.entry("backend_ready", "1 while the backend server accepts requests, else 0"),
			Map.entry("backend_cold", "1 while the backend server is known to be cold, else 0"),
			Map.entry("domains_evacuated", "failure domains that are evacuated"),
			Map.entry("domain_evacuated", "1 while this instance's failure domain is evacuated, else 0"),
			Map.entry("mesh_lease_millis_left", "milliseconds for which this instance may grant keys"),
			Map.entry("mesh_spans_held", "spans of keys held by this instance according to the newest known key map"),
			Map.entry("config_version", "version of the operators' configuration in force"),
			Map.entry("config_millis_in_force",
					"milliseconds since the operators' configuration came into force in this daemon"),
			Map.entry("mesh_instances_known", "instances that this daemon knows"),
			Map.entry("mesh_rows_version", "newest version among the known rows of instances and keys"),
			Map.entry("start_time_millis", "start time of this process, in milliseconds since the Unix epoch"),
			Map.entry("loop_lag_millis", "delay of the event loop of the request thread, in milliseconds"),
			Map.entry("store.calls.answered", "calls to the platform's store that were answered"),
			Map.entry("store.calls.failed", "calls to the platform's store that were refused or not answered"),
			Map.entry("request.millis", "milliseconds from reading a request to its response"),
			Map.entry("log.dropped", "log lines dropped because there were too many of one kind"),
			Map.entry("requests.answered", "callers' requests that were answered"));

	private MetricHelp() {
	}

	static Optional<String> of(String metric) {
		if (metric.startsWith(DUTY_CPU_PREFIX)) {
			return Optional.of("CPU time of the %s thread since its start, in milliseconds"
				.formatted(metric.substring(DUTY_CPU_PREFIX.length())));
		}
		if (metric.startsWith(EVENTS_PREFIX)) {
			return Optional.of("events of the kind %s, which docs/OPERATIONS.md describes"
				.formatted(metric.substring(EVENTS_PREFIX.length())));
		}
		return (metric.startsWith(FAILED_REQUESTS_PREFIX)) ? Optional
			.of("callers' requests that failed with the error " + metric.substring(FAILED_REQUESTS_PREFIX.length()))
				: Optional.ofNullable(TEXTS.get(metric));
	}

}
