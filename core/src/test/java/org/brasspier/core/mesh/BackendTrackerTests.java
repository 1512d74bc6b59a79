package org.brasspier.core.mesh;

import java.time.Duration;

import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.mesh.BackendTracker.BackendPhase;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendTrackerTests {

	private static final BackendIncarnation FIRST = new BackendIncarnation("i-1", 1000);

	private static final BackendIncarnation AGAIN = new BackendIncarnation("i-1", 2000);

	private static final BackendIncarnation OTHER = new BackendIncarnation("i-2", 3000);

	private final BackendTracker track = new BackendTracker();

	@Test
	void aHeartbeatThatComesLateChangesNothing() {
		this.track.onHeartbeat(FIRST, 5, true, 0);
		assertThat(this.track.onHeartbeat(FIRST, 4, false, 1)).isFalse();
		assertThat(this.track.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	/**
	 * A server starts again under the id it had, and its counts start anew. Taken for the
	 * old one, its heartbeats would all look late, and it would never get any keys.
	 */
	@Test
	void aServerThatStartsAgainUnderItsIdIsANewLife() {
		this.track.onHeartbeat(FIRST, 50, false, 0);
		assertThat(this.track.onHeartbeat(AGAIN, 1, false, 1)).isTrue();
		assertThat(this.track.incarnation()).hasValue(AGAIN);
	}

	/**
	 * A heartbeat of a crashed server was held up by a partition and arrives after its
	 * successor has registered. It must not bring the dead one back.
	 */
	@Test
	void aHeartbeatOfALifeThatIsOverIsIgnored() {
		this.track.onHeartbeat(AGAIN, 1, false, 0);
		assertThat(this.track.onHeartbeat(FIRST, 90, false, Duration.ofSeconds(20).toNanos())).isFalse();
		assertThat(this.track.incarnation()).hasValue(AGAIN);
	}

	@Test
	void leavingIsNeverTakenBack() {
		this.track.onHeartbeat(FIRST, 1, true, 0);
		this.track.onHeartbeat(FIRST, 2, false, 1);
		assertThat(this.track.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	@Test
	void aServerThatHasSaidGoodbyeDoesNotComeBackByALateHeartbeat() {
		this.track.onHeartbeat(FIRST, 1, false, 0);
		assertThat(this.track.onDeparture("i-1")).isTrue();
		assertThat(this.track.onHeartbeat(FIRST, 2, false, 1)).isFalse();
		assertThat(this.track.phase()).isEqualTo(BackendPhase.DEPARTED);
		assertThat(this.track.onHeartbeat(OTHER, 1, false, 2)).isTrue();
		assertThat(this.track.phase()).isEqualTo(BackendPhase.READY);
	}

	@Test
	void aGoodbyeOfAnotherServerIsIgnored() {
		this.track.onHeartbeat(OTHER, 1, false, 0);
		assertThat(this.track.onDeparture("i-1")).isFalse();
		assertThat(this.track.phase()).isEqualTo(BackendPhase.READY);
	}

	@Test
	void withoutTheTimeOfItsStartANewServerIsBelievedOnceTheOldOneIsSilent() {
		BackendIncarnation old = new BackendIncarnation("i-1", 0);
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.track.onHeartbeat(old, 1, false, 0);
		assertThat(this.track.onHeartbeat(next, 1, false, Duration.ofSeconds(1).toNanos())).isFalse();
		assertThat(this.track.onHeartbeat(next, 2, false, Duration.ofSeconds(4).toNanos())).isTrue();
	}

	/**
	 * Guards against a departure that is acknowledged and forgotten: the late copy of an
	 * earlier heartbeat made the server ready again, and it was sent requests.
	 */
	@Test
	void aServerThatLeftBeforeItWasHeardOfIsNotReadyByALateHeartbeat() {
		BackendIncarnation unheard = new BackendIncarnation("i-1", 0);
		this.track.onDeparture("i-1");
		this.track.onHeartbeat(unheard, 35, false, millis(2100));
		assertThat(this.track.phase()).isNotEqualTo(BackendPhase.READY);
		assertThat(this.track.seenReady()).isFalse();
	}

	/**
	 * Guards against the same while a server that crashed is still taken for the present
	 * one.
	 */
	@Test
	void aServerThatLeftWhileItsPredecessorCountedAsAliveIsNotReadyByALateHeartbeat() {
		BackendIncarnation crashed = new BackendIncarnation("i-1", 0);
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.track.onHeartbeat(crashed, 9, false, 0);
		assertThat(this.track.onHeartbeat(next, 1, false, millis(2000))).isFalse();
		this.track.onDeparture("i-2");
		this.track.onHeartbeat(next, 1, false, millis(4100));
		assertThat(this.track.phase()).isNotEqualTo(BackendPhase.READY);
	}

	@Test
	void drainingThatWasSaidBeforeTheServerWasBelievedBinds() {
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.track.onHeartbeat(new BackendIncarnation("i-1", 0), 9, false, 0);
		assertThat(this.track.onHeartbeat(next, 2, true, millis(2000))).isFalse();
		this.track.onHeartbeat(next, 3, false, millis(4100));
		assertThat(this.track.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	/**
	 * Guards against a restarted process that takes a server for ready whose leaving the
	 * one before acknowledged.
	 */
	@Test
	void aLeavingThatAnEarlierProcessAcknowledgedBinds() {
		this.track.restoreDeparture(FIRST);
		this.track.onHeartbeat(FIRST, 12, false, 0);
		assertThat(this.track.phase()).isEqualTo(BackendPhase.DRAINING);
		assertThat(this.track.seenReady()).isFalse();
	}

	@Test
	void aLeavingThatIsLearntAfterTheFirstHeartbeatBindsFromThenOn() {
		this.track.onHeartbeat(FIRST, 12, false, 0);
		this.track.restoreDeparture(OTHER);
		assertThat(this.track.phase()).isEqualTo(BackendPhase.READY);
		this.track.restoreDeparture(FIRST);
		assertThat(this.track.phase()).isEqualTo(BackendPhase.DRAINING);
	}

	@Test
	void aServerThatStartsAgainUnderTheIdOfOneThatLeftIsReady() {
		this.track.restoreDeparture(FIRST);
		this.track.onDeparture("i-1");
		this.track.onHeartbeat(AGAIN, 1, false, 0);
		assertThat(this.track.phase()).isEqualTo(BackendPhase.READY);
	}

	/**
	 * Guards against a copy of a crashed server's heartbeat that comes while its
	 * successor is silent: without the time of their starts nothing else tells them
	 * apart.
	 */
	@Test
	void aCopyOfAHeartbeatThatWasTakenBringsNoEarlierServerBack() {
		BackendIncarnation old = new BackendIncarnation("i-1", 0);
		BackendIncarnation next = new BackendIncarnation("i-2", 0);
		this.track.onHeartbeat(old, 9, false, 0);
		this.track.onHeartbeat(next, 1, false, millis(4000));
		assertThat(this.track.onHeartbeat(old, 9, false, millis(9000))).isFalse();
		assertThat(this.track.incarnation()).hasValue(next);
		assertThat(this.track.onHeartbeat(old, 10, false, millis(9500))).isTrue();
	}

	@Test
	void aServerThatIsFirstHeardOfAsItLeavesWasNotSeenReady() {
		this.track.onHeartbeat(FIRST, 12, true, 0);
		assertThat(this.track.phase()).isEqualTo(BackendPhase.DRAINING);
		assertThat(this.track.seenReady()).isFalse();
	}

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	/**
	 * A server crashes. Its port is closed and its heartbeats stop, so its keys can go to
	 * others at once; waiting for its grant to run out left them unserved for six
	 * seconds.
	 */
	@Test
	void aSilentServerWhosePortStaysClosedIsDead() {
		this.track.onHeartbeat(FIRST, 1, false, 0);
		this.track.onConnectionAttempt(false, millis(300));
		this.track.onConnectionAttempt(false, millis(900));
		assertThat(this.track.isDead(millis(1000))).isFalse();
		assertThat(this.track.isDead(millis(1700))).isTrue();
	}

	@Test
	void aServerWithAnOpenPortIsNotTakenForDeadThoughItIsSilent() {
		this.track.onHeartbeat(FIRST, 1, false, 0);
		this.track.onConnectionAttempt(false, millis(300));
		this.track.onConnectionAttempt(true, millis(800));
		assertThat(this.track.isDead(millis(3000))).isFalse();
	}

	/**
	 * A server resets a connection or two because too many are open. It sends heartbeats
	 * on, so it lives and holds its keys.
	 */
	@Test
	void aServerThatSendsHeartbeatsIsNotTakenForDead() {
		this.track.onHeartbeat(FIRST, 1, false, 0);
		this.track.onConnectionAttempt(false, millis(300));
		this.track.onConnectionAttempt(false, millis(1400));
		this.track.onHeartbeat(FIRST, 2, false, millis(1500));
		assertThat(this.track.isDead(millis(3200))).isFalse();
	}

}
