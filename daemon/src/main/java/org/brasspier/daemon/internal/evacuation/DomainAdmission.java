package org.brasspier.daemon.internal.evacuation;

import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.evacuation.KeyGracePeriod;

/**
 * Decides whether the local backend server may be sent requests, by the state of its
 * failure domain. Not thread-safe; confined to the request thread.
 */
public final class DomainAdmission {

	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	private final EvacuationRows evacuations;

	private final FailureDomain own;

	private final KeyGracePeriod keyGrace;

	/**
	 * Creates an instance that follows the requests to evacuate domains.
	 * @param evacuations the requests
	 * @param own the failure domain of this instance
	 * @param keyGrace how long held keys are still served
	 */
	public DomainAdmission(EvacuationRows evacuations, FailureDomain own, KeyGracePeriod keyGrace) {
		this.evacuations = evacuations;
		this.own = own;
		this.keyGrace = keyGrace;
		evacuations.addListener(this::update);
	}

	private void update() {
		this.keyGrace.update(this.evacuations.isEvacuated(this.own), this.evacuations.requestIsRecent(this.own),
				System.nanoTime());
	}

	/**
	 * Returns why a request can't be sent to the server now, if it can't.
	 * @param holdsKey whether the request is for a key that the server holds
	 * @param now the current time, nanoseconds of the steady clock
	 * @return empty if it may be sent
	 */
	public Optional<Failure> rejection(boolean holdsKey, long now) {
		if (!this.evacuations.isKnown(this.own)) {
			return Optional.of(new Failure(ErrorKind.NO_CONFIGURATION,
					"it is not known yet whether the failure domain is evacuated", RETRY_AFTER));
		}
		boolean allowed = !isEvacuated() || holdsKey && this.keyGrace.mayServeKeys(now);
		return allowed ? Optional.empty()
				: Optional.of(Failure.of(ErrorKind.NO_BACKEND, "the failure domain is evacuated"));
	}

	/**
	 * Returns whether the failure domain of this instance is evacuated.
	 * @return true if its evacuation is requested
	 */
	public boolean isEvacuated() {
		return this.evacuations.isEvacuated(this.own);
	}

	/**
	 * Returns the time until held keys are no longer served.
	 * @param now the current time, nanoseconds of the steady clock
	 * @return zero if the domain is not evacuated, or the time is over
	 */
	public Duration remainingForKeys(long now) {
		return this.keyGrace.remaining(now);
	}

}
