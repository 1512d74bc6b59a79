package org.brasspier.core.mesh;

import java.time.Duration;

import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.mesh.BackendTracker.BackendPhase;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendTrackerTests {

	private static final BackendIncarnation FIRST = new BackendIncarnation("i-1", 1000);

	private static final BackendIncarnation RESTARTED = new BackendIncarnation("i-1", 2000);

	private static final BackendIncarnation OTHER = new BackendIncarnation("i-2", 3000);

	private final BackendTracker tracker = new BackendTracker();

	@Test
	void aLateHeartbeatIsIgnored() {
		this.tracker.onHeartbeat(FIRST, 5, true, 0);
		assertThat(this.tracker.onHeartbeat(FIRST, 4, false, 1)).isFalse();
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	/**
	 * A server restarts under the same id and its sequence numbers start again. If they
	 * were compared with the old ones, all its heartbeats would look late, and it would
	 * never get any keys.
	 */
	@Test
	void aServerThatRestartsUnderItsIdIsANewIncarnation() {
		this.tracker.onHeartbeat(FIRST, 50, false, 0);
		assertThat(this.tracker.onHeartbeat(RESTARTED, 1, false, 1)).isTrue();
		assertThat(this.tracker.incarnation()).hasValue(RESTARTED);
	}

	/**
	 * A heartbeat of a crashed server was delayed by a partition and arrives after its
	 * successor has registered. It must not make the crashed server current again.
	 */
	@Test
	void aHeartbeatOfAnEndedIncarnationIsIgnored() {
		this.tracker.onHeartbeat(RESTARTED, 1, false, 0);
		assertThat(this.tracker.onHeartbeat(FIRST, 90, false, Duration.ofSeconds(20).toNanos())).isFalse();
		assertThat(this.tracker.incarnation()).hasValue(RESTARTED);
	}

	@Test
	void drainingIsNeverReverted() {
		this.tracker.onHeartbeat(FIRST, 1, true, 0);
		this.tracker.onHeartbeat(FIRST, 2, false, 1);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	/** Guards against new requests to a server that says in an answer that it leaves. */
	@Test
	void aServerThatAnnouncesItsLeavingDrainsThoughItsHeartbeatsSayReady() {
		this.tracker.onHeartbeat(FIRST, 1, false, 0);
		this.tracker.onLeavingAnnounced(FIRST, 0);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
		this.tracker.onHeartbeat(FIRST, 2, false, 1);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	/** Guards against draining a server because the one before it was leaving. */
	@Test
	void theLeavingOfAnEarlierIncarnationDoesNotDrainTheCurrentOne() {
		this.tracker.onHeartbeat(RESTARTED, 1, false, 0);
		this.tracker.onLeavingAnnounced(FIRST, 0);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.READY);
	}

	@Test
	void aLateHeartbeatDoesNotReviveADepartedServer() {
		this.tracker.onHeartbeat(FIRST, 1, false, 0);
		assertThat(this.tracker.onDeparture("i-1", 0)).isTrue();
		assertThat(this.tracker.onHeartbeat(FIRST, 2, false, 1)).isFalse();
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DEPARTED);
		assertThat(this.tracker.onHeartbeat(OTHER, 1, false, 2)).isTrue();
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.READY);
	}

	@Test
	void aDepartureOfAnotherServerIsIgnored() {
		this.tracker.onHeartbeat(OTHER, 1, false, 0);
		assertThat(this.tracker.onDeparture("i-1", 0)).isFalse();
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.READY);
	}

	@Test
	void withoutStartTimesANewServerIsAcceptedOnceTheOldOneIsSilent() {
		BackendIncarnation old = new BackendIncarnation("i-1", 0);
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.tracker.onHeartbeat(old, 1, false, 0);
		assertThat(this.tracker.onHeartbeat(next, 1, false, Duration.ofSeconds(1).toNanos())).isFalse();
		assertThat(this.tracker.onHeartbeat(next, 2, false, Duration.ofSeconds(4).toNanos())).isTrue();
	}

	/**
	 * Guards against a departure that is acknowledged and forgotten: a late copy of an
	 * earlier heartbeat made the server ready again, and it was sent requests.
	 */
	@Test
	void aLateHeartbeatDoesNotMakeAServerReadyThatDepartedWhileUnknown() {
		BackendIncarnation unknown = new BackendIncarnation("i-1", 0);
		this.tracker.onDeparture("i-1", 0);
		this.tracker.onHeartbeat(unknown, 35, false, millis(2100));
		assertThat(this.tracker.phase()).isNotEqualTo(BackendPhase.READY);
		assertThat(this.tracker.seenReady()).isFalse();
	}

	/**
	 * Guards against the same fault while a server that crashed still counts as the
	 * current one.
	 */
	@Test
	void aLateHeartbeatDoesNotMakeAServerReadyThatDepartedBeforeItsPredecessorTimedOut() {
		BackendIncarnation crashed = new BackendIncarnation("i-1", 0);
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.tracker.onHeartbeat(crashed, 9, false, 0);
		assertThat(this.tracker.onHeartbeat(next, 1, false, millis(2000))).isFalse();
		this.tracker.onDeparture("i-2", 0);
		this.tracker.onHeartbeat(next, 1, false, millis(4100));
		assertThat(this.tracker.phase()).isNotEqualTo(BackendPhase.READY);
	}

	@Test
	void drainingThatWasReportedBeforeTheServerWasAcceptedIsKept() {
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.tracker.onHeartbeat(new BackendIncarnation("i-1", 0), 9, false, 0);
		assertThat(this.tracker.onHeartbeat(next, 2, true, millis(2000))).isFalse();
		this.tracker.onHeartbeat(next, 3, false, millis(4100));
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	/**
	 * Guards against a restarted process that considers a server ready although the
	 * earlier process acknowledged its departure.
	 */
	@Test
	void aDepartureThatAnEarlierProcessAcknowledgedIsKept() {
		this.tracker.restoreDeparture(FIRST);
		this.tracker.onHeartbeat(FIRST, 12, false, 0);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
		assertThat(this.tracker.seenReady()).isFalse();
	}

	@Test
	void aDepartureRestoredAfterTheFirstHeartbeatTakesEffect() {
		this.tracker.onHeartbeat(FIRST, 12, false, 0);
		this.tracker.restoreDeparture(OTHER);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.READY);
		this.tracker.restoreDeparture(FIRST);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	@Test
	void aServerThatRestartsUnderTheIdOfADepartedOneIsReady() {
		this.tracker.restoreDeparture(FIRST);
		this.tracker.onDeparture("i-1", 0);
		this.tracker.onHeartbeat(RESTARTED, 1, false, 0);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.READY);
	}

	/**
	 * Guards against a copy of a crashed server's heartbeat that arrives while its
	 * successor is silent: without start times, only the sequence number shows that it is
	 * old.
	 */
	@Test
	void aCopyOfAnAcceptedHeartbeatDoesNotReviveAnEarlierServer() {
		BackendIncarnation old = new BackendIncarnation("i-1", 0);
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.tracker.onHeartbeat(old, 9, false, 0);
		this.tracker.onHeartbeat(next, 1, false, millis(4000));
		assertThat(this.tracker.onHeartbeat(old, 9, false, millis(9000))).isFalse();
		assertThat(this.tracker.incarnation()).hasValue(next);
		assertThat(this.tracker.onHeartbeat(old, 10, false, millis(9500))).isTrue();
	}

	@Test
	void aServerFirstSeenWhileDrainingWasNotSeenReady() {
		this.tracker.onHeartbeat(FIRST, 12, true, 0);
		assertThat(this.tracker.phase()).isEqualTo(BackendPhase.DRAINING);
		assertThat(this.tracker.seenReady()).isFalse();
	}

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	/**
	 * A server crashes. Its port is closed and its heartbeats stop, so its keys can be
	 * moved immediately; waiting for its grant to expire left them unserved for six
	 * seconds.
	 */
	@Test
	void aSilentServerWhosePortStaysClosedIsDead() {
		this.tracker.onHeartbeat(FIRST, 1, false, 0);
		this.tracker.onConnectionAttempt(false, millis(300));
		this.tracker.onConnectionAttempt(false, millis(900));
		assertThat(this.tracker.isDead(millis(1000))).isFalse();
		assertThat(this.tracker.isDead(millis(1700))).isTrue();
	}

	@Test
	void aSilentServerWithAnOpenPortIsNotDead() {
		this.tracker.onHeartbeat(FIRST, 1, false, 0);
		this.tracker.onConnectionAttempt(false, millis(300));
		this.tracker.onConnectionAttempt(true, millis(800));
		assertThat(this.tracker.isDead(millis(3000))).isFalse();
	}

	/**
	 * A server resets one or two connections because too many are open. It keeps sending
	 * heartbeats, so it is alive and holds its keys.
	 */
	@Test
	void aServerThatSendsHeartbeatsIsNotDead() {
		this.tracker.onHeartbeat(FIRST, 1, false, 0);
		this.tracker.onConnectionAttempt(false, millis(300));
		this.tracker.onConnectionAttempt(false, millis(1400));
		this.tracker.onHeartbeat(FIRST, 2, false, millis(1500));
		assertThat(this.tracker.isDead(millis(3200))).isFalse();
	}

	private static BackendIncarnation withoutStart(String id) {
		return new BackendIncarnation(id, 0);
	}

	/** Guards against keys that wait for three heartbeats of a server that has ended. */
	@Test
	void withoutStartTimesANewServerIsAcceptedAtOnceIfTheOldOnesPortWasClosed() {
		this.tracker.onHeartbeat(withoutStart("i-1"), 5, false, 0);
		this.tracker.onConnectionAttempt(false, 1);
		this.tracker.onConnectionAttempt(true, 2);
		assertThat(this.tracker.onHeartbeat(withoutStart("i-2"), 1, false, 3)).isTrue();
	}

	@Test
	void aPortThatWasClosedBeforeTheLatestHeartbeatSaysNothingAboutTheServer() {
		this.tracker.onHeartbeat(withoutStart("i-1"), 5, false, 0);
		this.tracker.onConnectionAttempt(false, 1);
		this.tracker.onHeartbeat(withoutStart("i-1"), 6, false, 2);
		assertThat(this.tracker.onHeartbeat(withoutStart("i-2"), 1, false, 3)).isFalse();
	}

	/** Guards against a late heartbeat that takes the place of the server's successor. */
	@Test
	void aClosedPortDoesNotReviveAnEarlierServer() {
		this.tracker.onHeartbeat(withoutStart("i-1"), 5, false, 0);
		this.tracker.onConnectionAttempt(false, 1);
		this.tracker.onHeartbeat(withoutStart("i-2"), 1, false, 2);
		this.tracker.onConnectionAttempt(false, 3);
		assertThat(this.tracker.onHeartbeat(withoutStart("i-1"), 6, false, 4)).isFalse();
		assertThat(this.tracker.onHeartbeat(withoutStart("i-3"), 1, false, 5)).isTrue();
	}

}
