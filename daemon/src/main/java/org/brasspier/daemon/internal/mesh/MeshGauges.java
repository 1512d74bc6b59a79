package org.brasspier.daemon.internal.mesh;

import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * What a daemon of the mesh shows of its state beside the counters: each gauge reads a
 * number that its part keeps anyway. Belongs to the thread of requests, on which metrics
 * are read too.
 */
final class MeshGauges {

	private final MetricRegistry metrics;

	MeshGauges(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	MeshGauges gate(BackendGate gate, BackendRegistration registration) {
		show("gate_running", () -> gate.load().get(0));
		show("gate_waiting", () -> gate.load().get(1));
		show("backend_slots", registration::slots);
		show("backend_ready", () -> registration.ready() ? 1 : 0);
		return this;
	}

	MeshGauges keys(KeyOwnership keys) {
		show("mesh_lease_millis_left", keys::leaseMillisLeft);
		show("mesh_spans_held", keys::spansHeld);
		return this;
	}

	MeshGauges known(ConfigHolder config, Directory directory) {
		show("config_version", () -> config.get().version());
		show("config_millis_in_force", config::millisInForce);
		show("mesh_instances_known", directory::size);
		show("mesh_rows_version", directory::newestVersion);
		return this;
	}

	MeshGauges process(LagTimer lag) {
		long started = System.currentTimeMillis();
		show("start_time_millis", () -> started);
		show("loop_lag_millis", lag::lagMillis);
		return this;
	}

	private void show(String name, LongSupplier value) {
		this.metrics.register(name, (Gauge<Long>) value::getAsLong);
	}

}
