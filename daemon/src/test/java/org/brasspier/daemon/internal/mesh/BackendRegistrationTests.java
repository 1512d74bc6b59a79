package org.brasspier.daemon.internal.mesh;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.coldstart.ColdStartLimiter;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantDelivery;
import org.brasspier.core.keys.HoldReport;
import org.brasspier.core.mesh.BackendTracker.BackendPhase;
import org.brasspier.daemon.mesh.BackendMessage;
import org.brasspier.daemon.mesh.Heartbeat;
import org.brasspier.daemon.mesh.MeshSettings;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BackendRegistration}.
 */
class BackendRegistrationTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final InetSocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

	private static final BackendIncarnation SERVER = new BackendIncarnation("server", 1);

	private static final Consumer<BackendRegistration> REPORTS_DRAINING = heartbeat(2, true);

	private static final Consumer<BackendRegistration> ANNOUNCES_LEAVING = (registration) -> registration
		.announceLeaving(SERVER);

	private static final Consumer<BackendRegistration> DEPARTS = (registration) -> registration
		.receive(new BackendMessage.Departure(SERVER.id()));

	private final BackendRegistration registration = new BackendRegistration(
			new MeshSettings.Backend(SERVICE, ADDRESS, Duration.ofSeconds(1), new GrantDelivery.InHeartbeats()),
			new MeshLog(new InstanceId("self"), new MetricRegistry()));

	private static Consumer<BackendRegistration> heartbeat(long sequence, boolean draining) {
		Heartbeat heartbeat = new Heartbeat(SERVICE, ADDRESS, 4, draining, Duration.ZERO, sequence,
				new HoldReport(SERVER, List.of(), List.of()));
		return (registration) -> registration.receive(new BackendMessage.HeartbeatMessage(heartbeat));
	}

	// The first heartbeat of another process under the same id.
	private static BackendMessage restarted() {
		return new BackendMessage.HeartbeatMessage(new Heartbeat(SERVICE, ADDRESS, 4, false, Duration.ZERO, 1,
				new HoldReport(new BackendIncarnation(SERVER.id(), 2), List.of(), List.of())));
	}

	private static Stream<Named<List<Consumer<BackendRegistration>>>> leavings() {
		return Stream.of(Named.of("heartbeat, departure", List.of(REPORTS_DRAINING, DEPARTS)),
				Named.of("heartbeat, answer", List.of(REPORTS_DRAINING, ANNOUNCES_LEAVING)),
				Named.of("answer, departure", List.of(ANNOUNCES_LEAVING, DEPARTS)),
				Named.of("answer, heartbeat", List.of(ANNOUNCES_LEAVING, REPORTS_DRAINING)),
				Named.of("answer, heartbeat, departure", List.of(ANNOUNCES_LEAVING, REPORTS_DRAINING, DEPARTS)),
				Named.of("departure, departure", List.of(DEPARTS, DEPARTS)),
				Named.of("departure, late heartbeat", List.of(DEPARTS, heartbeat(3, false))),
				Named.of("heartbeat, late heartbeat", List.of(REPORTS_DRAINING, heartbeat(3, false))));
	}

	/**
	 * Guards against a drain time that starts again with each message that a server is
	 * leaving, so that it was sent requests after its acknowledged drain time.
	 */
	@ParameterizedTest
	@MethodSource("leavings")
	void theDrainTimeStartsWithTheFirstWordOfLeaving(List<Consumer<BackendRegistration>> messages) {
		heartbeat(1, false).accept(this.registration);
		messages.get(0).accept(this.registration);
		long later = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		Optional<Duration> drained = this.registration.drainingFor(later);
		assertThat(drained).isPresent();
		messages.stream().skip(1).forEach((message) -> message.accept(this.registration));
		assertThat(this.registration.drainingFor(later)).isEqualTo(drained);
	}

	/** Guards against a drain time for a server that left before this process started. */
	@Test
	void aDepartureThatAnEarlierProcessAcknowledgedStartsNoDrainTime() {
		heartbeat(1, false).accept(this.registration);
		this.registration.restoreDeparture(SERVER);
		assertThat(this.registration.drainingFor(System.nanoTime())).isEmpty();
		DEPARTS.accept(this.registration);
		assertThat(this.registration.phase()).isEqualTo(BackendPhase.DEPARTED);
		assertThat(this.registration.drainingFor(System.nanoTime())).isEmpty();
	}

	/** Guards against the drain time of an earlier process under the same id. */
	@Test
	void theDrainTimeOfARestartedServerStartsWithItsOwnLeaving() {
		heartbeat(1, false).accept(this.registration);
		REPORTS_DRAINING.accept(this.registration);
		this.registration.receive(restarted());
		long beforeLeaving = System.nanoTime();
		DEPARTS.accept(this.registration);
		assertThat(this.registration.drainingFor(beforeLeaving).map(Duration::isPositive)).hasValue(false);
	}

	/**
	 * Guards against a cold server that gets the limit of a second twice: once before its
	 * first heartbeat, and once more after it.
	 */
	@Test
	void theFirstHeartbeatOfARestartedServerForgetsNothingThatItWasSent() {
		heartbeat(1, false).accept(this.registration);
		ColdStartLimiter limiter = this.registration.coldStart();
		limiter.limit(10);
		long sent = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		while (limiter.mayStart(sent)) {
			limiter.onStarted();
			limiter.onSent(sent);
		}
		this.registration.receive(restarted());
		assertThat(limiter.mayStart(sent)).isFalse();
	}

}
