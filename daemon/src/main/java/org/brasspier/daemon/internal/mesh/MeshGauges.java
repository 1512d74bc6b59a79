package org.brasspier.daemon.internal.mesh;

import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.brasspier.core.FailureDomain;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.exchange.ExchangeRecorder;
import org.brasspier.daemon.internal.http.BodyBudget;
import org.brasspier.daemon.internal.limit.ServerNotices;
import org.brasspier.daemon.internal.link.AnswerAdmission;
import org.brasspier.daemon.internal.link.LinkFlow;

/**
 * Gauges of a daemon of the mesh. Each reads a number that its part maintains anyway. Not
 * thread-safe: confined to the request thread, on which metrics are read as well.
 */
final class MeshGauges {

	private final MetricRegistry metrics;

	MeshGauges(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	MeshGauges gate(BackendGate gate, BackendRegistration registration) {
		register("gate_running", () -> gate.load().get(0));
		register("gate_waiting", () -> gate.load().get(1));
		register("gate_outstanding_work_millis", gate::outstandingWorkMillis);
		register("call_routes_known", () -> gate.calls().knownCount());
		register("call_slots_reserved", gate::reservedForCalls);
		register("parents_refused", () -> gate.calls().refusedCount());
		register("backend_slots", registration::slots);
		register("backend_ready", () -> registration.ready() ? 1 : 0);
		return this;
	}

	MeshGauges exchanges(ExchangeRecorder exchanges) {
		register("backend_connections_opened", exchanges::connectionsOpened);
		register("backend_requests_sent", exchanges::exchangesBegun);
		return this;
	}

	MeshGauges keys(KeyOwnership keys) {
		register("mesh_lease_millis_left", keys::leaseMillisLeft);
		register("mesh_spans_held", keys::spansHeld);
		return this;
	}

	MeshGauges configAndDirectory(ConfigHolder config, Directory directory) {
		register("config_version", () -> config.get().version());
		register("config_millis_in_force", config::millisInForce);
		register("mesh_instances_known", directory::size);
		register("mesh_rows_version", directory::newestVersion);
		return this;
	}

	MeshGauges evacuation(EvacuationRows evacuations, FailureDomain own) {
		register("domains_evacuated", () -> evacuations.evacuated().size());
		register("domain_evacuated", () -> evacuations.isEvacuated(own) ? 1 : 0);
		return this;
	}

	MeshGauges coldStart(BackendRegistration registration) {
		register("backend_cold", () -> registration.coldStart().isCold(System.nanoTime()) ? 1 : 0);
		return this;
	}

	MeshGauges link(LinkFlow flow, AnswerAdmission answers) {
		register("link_backlog_millis", () -> flow.linkBacklog().toMillis());
		register("link_bytes_per_second", () -> Math.round(flow.bytesPerSecond()));
		register("link_held_bytes", flow::heldBytes);
		register("link_refused", answers::refusedCount);
		return this;
	}

	MeshGauges limits(ServerNotices notices, BackendRegistration registration) {
		register("backend_limited", () -> notices.limit().perSecond().isPresent() ? 1 : 0);
		register("backend_limit_per_second", () -> Math.round(notices.limit().perSecond().orElse(0)));
		register("backend_limit_refused", notices::refusedCount);
		register("backend_limits_malformed", notices::malformedCount);
		register("backend_leaving", () -> (registration.incarnation().isPresent() && !registration.ready()) ? 1 : 0);
		return this;
	}

	MeshGauges choosing(Dispatcher dispatcher) {
		register("services_chosen_by_reports", dispatcher::servicesChosenByReports);
		return this;
	}

	MeshGauges bodies(BodyBudget requests, BodyBudget answers) {
		register("request_body_bytes", requests::heldBytes);
		register("request_bodies_refused", requests::refusedCount);
		register("answer_body_bytes", answers::heldBytes);
		register("answer_bodies_refused", answers::refusedCount);
		return this;
	}

	MeshGauges process(LagTimer lag) {
		long started = System.currentTimeMillis();
		register("start_time_millis", () -> started);
		register("loop_lag_millis", lag::lagMillis);
		return this;
	}

	private void register(String name, LongSupplier value) {
		this.metrics.register(name, (Gauge<Long>) value::getAsLong);
	}

}
