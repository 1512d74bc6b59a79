package org.brasspier.daemon.internal.mesh;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantDelivery;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BodyBudget;
import org.brasspier.daemon.internal.http.ServerConnections;
import org.brasspier.daemon.mesh.ConfigSource;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BackendCrashes}.
 */
class BackendCrashesTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private final BackendCrashes crashes = crashes();

	private static BackendCrashes crashes() {
		Eventloop loop = Eventloop.create();
		InstanceId self = new InstanceId("self");
		MetricRegistry metrics = new MetricRegistry();
		MeshLog log = new MeshLog(self, metrics);
		ConfigSource none = new ConfigSourceStandIn((value) -> 0);
		EvacuationRows evacuations = new EvacuationRows(none);
		Directory directory = new Directory(evacuations, log);
		InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		BackendRegistration registration = new BackendRegistration(
				new MeshSettings.Backend(SERVICE, address, Duration.ofSeconds(1), new GrantDelivery.ByCall()), log);
		BackendPool pool = new BackendPool(loop, address, new BodyBudget(loop, 1), new ServerConnections());
		HopClient hops = new HopClient(loop, new SharedRows(new ConfigHolder(none, log), evacuations, directory, log));
		return new BackendCrashes(loop, self, registration, pool, directory, hops, new UnusedStore(),
				new StoreHealth(log, metrics), log);
	}

	private static HopRequest request(String id, String target) {
		MeshRequest request = new MeshRequest(id, "host", "GET", target, List.of(), new byte[0], 1_000,
				OptionalInt.empty());
		return new HopRequest(SERVICE, SERVICE, RequestClass.LOOKUP, true, false, true, request);
	}

	// Has another instance tell of a crash during two requests.
	private void suspect(HopRequest one, HopRequest other) {
		CrashReport report = new CrashReport(1, new BackendIncarnation("server", 1),
				Set.of(one.fingerprint(), other.fingerprint()));
		this.crashes.onCrashState(new InstanceId("other"), new CrashState(List.of(report), Set.of(), Set.of()));
	}

	/**
	 * Guards against two suspect requests that run at once, so that the next crash does
	 * not show which one is to blame: a caller that sends a request again under its id
	 * has two runs here, of which the first ends.
	 */
	@Test
	void aSuspectWaitsUntilAllRunsOfAnotherHaveEndedAlsoIfTheyShareAnId() {
		HopRequest repeated = request("a", "/one");
		HopRequest other = request("b", "/other");
		suspect(repeated, other);
		this.crashes.onRequestStarted(1, repeated);
		this.crashes.onRequestStarted(2, repeated);
		this.crashes.onRequestEnded(1);
		assertThat(this.crashes.mustWait(other)).isTrue();
		assertThat(this.crashes.mustWait(repeated)).isFalse();
		this.crashes.onRequestEnded(2);
		assertThat(this.crashes.mustWait(other)).isFalse();
	}

	/**
	 * Guards against a harmless run that ends a suspect one, since a caller gave both the
	 * same id.
	 */
	@Test
	void theEndOfAHarmlessRunDoesNotEndASuspectOneOfTheSameId() {
		HopRequest suspect = request("a", "/one");
		HopRequest other = request("b", "/other");
		HopRequest harmless = request("a", "/harmless");
		suspect(suspect, other);
		this.crashes.onRequestStarted(1, suspect);
		this.crashes.onRequestStarted(2, harmless);
		this.crashes.onRequestEnded(2);
		assertThat(this.crashes.mustWait(other)).isTrue();
		this.crashes.onRequestEnded(1);
		assertThat(this.crashes.mustWait(other)).isFalse();
	}

	/**
	 * A store that no test needs.
	 */
	private static final class UnusedStore implements MetadataStore {

		@Override
		public Promise<Rows> read(String table) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Promise<Optional<Rows>> changes(String table, long after, Duration wait) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Promise<CommitResult> commit(Commit commit) {
			throw new UnsupportedOperationException();
		}

	}

}
