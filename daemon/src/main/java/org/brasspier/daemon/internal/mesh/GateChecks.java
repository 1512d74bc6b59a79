package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.LinkDelay;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.daemon.internal.evacuation.DomainAdmission;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * Determines why a request can't be given to the local backend server now, apart from the
 * server's load: it is stopping, evacuated, gone or without the key, or the request may
 * crash it. Not thread-safe: confined to the request thread.
 */
final class GateChecks {

	private static final Duration SHORT_RETRY_AFTER = Duration.ofMillis(100);

	/**
	 * Time that the answer to a heartbeat, and the grants in it, take to arrive and take
	 * effect.
	 */
	private static final Duration GRANT_MARGIN = Duration.ofMillis(20);

	/**
	 * Subtracted from the time for which a draining server may be sent requests, so that
	 * the last request still reaches it in time.
	 */
	private static final Duration DRAIN_MARGIN = Duration.ofMillis(500);

	private final MeshSettings settings;

	private final BackendRegistration registration;

	private final Supplier<RoutingConfig> config;

	private final DomainAdmission domain;

	private final KeyOwnership keys;

	private final BackendCrashes crashes;

	private final ToLongFunction<HopRequest> meanRunNanos;

	private boolean stopping;

	GateChecks(MeshSettings settings, BackendRegistration registration, Supplier<RoutingConfig> config,
			DomainAdmission domain, KeyOwnership keys, BackendCrashes crashes,
			ToLongFunction<HopRequest> meanRunNanos) {
		this.settings = settings;
		this.registration = registration;
		this.config = config;
		this.domain = domain;
		this.keys = keys;
		this.crashes = crashes;
		this.meanRunNanos = meanRunNanos;
	}

	// Rejects all requests from now on.
	void stop() {
		this.stopping = true;
	}

	// Returns why a request can't be accepted now, if it can't.
	Optional<Failure> rejection(HopRequest hopRequest, long delayNanos, long now) {
		if (this.stopping) {
			return noBackend("the backend server's daemon is stopping");
		}
		if (LinkDelay.exceedsTimeout(delayNanos)) {
			return Optional
				.of(Failure.of(ErrorKind.DEADLINE_PASSED, "the request was delayed for %d ms between the daemons"
					.formatted(Duration.ofNanos(delayNanos).toMillis())));
		}
		return suspectRejection(hopRequest).or(() -> backendRejection(hopRequest, now));
	}

	// Returns why a request that may crash servers can't be accepted now, if it can't.
	Optional<Failure> suspectRejection(HopRequest hopRequest) {
		if (this.crashes.isBlocked(hopRequest)) {
			return Optional.of(blockedFailure());
		}
		if (!this.crashes.mustWait(hopRequest)) {
			return Optional.empty();
		}
		Duration run = Duration.ofNanos(this.meanRunNanos.applyAsLong(hopRequest));
		return Optional.of(new Failure(ErrorKind.OVERLOADED,
				"another request that is suspected of crashing backend servers is running",
				this.crashes.reserveTurn(run)));
	}

	// Has no retry-after time: when the request may be tried again is unknown.
	static Failure blockedFailure() {
		return Failure.of(ErrorKind.CRASHED_BACKENDS, "backend servers have crashed while running this request");
	}

	Optional<Failure> backendRejection(HopRequest hopRequest, long now) {
		if (!this.config.get().isKnown()) {
			// Without a configuration it is unknown whether the service is sharded, and a
			// server declines requests for keys that it does not hold.
			return Optional.of(new Failure(ErrorKind.NO_CONFIGURATION, "no configuration has been received yet",
					SHORT_RETRY_AFTER));
		}
		if (!hopRequest.service().equals(this.settings.backend().service())) {
			return noBackend("this instance's backend server is of service " + this.settings.backend().service());
		}
		boolean sharded = hopRequest.request().key().isPresent()
				&& this.config.get().service(hopRequest.service()).filter((rule) -> rule.sharded()).isPresent();
		Optional<Failure> domainRejection = this.domain.rejection(sharded, now);
		if (domainRejection.isPresent()) {
			return domainRejection;
		}
		if (!this.registration.ready() && !(sharded && remainingForKeys(now).isPositive())) {
			return noBackend("the backend server is " + this.registration.phase());
		}
		if (sharded && !this.keys.usable(hopRequest.request().key().getAsInt())) {
			return Optional.of(new Failure(ErrorKind.NOT_OWNER, "the backend server doesn't hold this key now",
					timeUntilHeld(hopRequest.request().key().getAsInt(), now)));
		}
		return Optional.empty();
	}

	// Returns how long a draining server may still serve its keys. It serves them until
	// another server holds them, but no longer than the configured drain time.
	Duration remainingForKeys(long now) {
		Duration maxDrainTime = this.settings.bounds().drain().minus(DRAIN_MARGIN);
		return this.registration.drainingFor(now)
			.map(maxDrainTime::minus)
			.filter(Duration::isPositive)
			.orElse(Duration.ZERO);
	}

	// Returns when this server is expected to hold the key: keys are granted in the
	// answer to the next heartbeat. Zero, for no retry-after time, if that is unknown
	// because the key is moving to another holder or the heartbeat is overdue.
	private Duration timeUntilHeld(int key, long now) {
		Duration next = this.registration.untilNextHeartbeat(now);
		return (next.isZero() || this.keys.isMoving(key)) ? Duration.ZERO : next.plus(GRANT_MARGIN);
	}

	// Has no retry-after time: how long this lasts is unknown.
	private static Optional<Failure> noBackend(String detail) {
		return Optional.of(Failure.of(ErrorKind.NO_BACKEND, detail));
	}

}
