package org.brasspier.daemon.internal.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.StoredDocument;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that each process follows the version in force and never reverts to an older one.
 */
class DocumentFollowerTests {

	private static final InstanceId PEER = new InstanceId("milwaukee-1");

	private final FakePlatform platform = new FakePlatform();

	private final DocumentStore store = new DocumentStore(this.platform, this.platform);

	private final EventLog events = new EventLog(100);

	private final DocumentHolder peerHolder = new DocumentHolder(this.events);

	private final DocumentHolder holder = new DocumentHolder(this.events);

	private final List<InstanceId> fetchedFrom = new ArrayList<>();

	private boolean peerDown;

	private boolean isLeaseManager;

	private long nanos;

	private final DocumentFollower follower = new DocumentFollower(this.store, this.holder, this::fetchFromPeer,
			this.events, () -> this.isLeaseManager, () -> this.nanos);

	@BeforeEach
	void runInThisThread() {
		Eventloop.builder().withCurrentThread().build();
	}

	@Test
	void aDaemonThatIsBehindFetchesTheBodyFromThePeerThatReportedTheVersion() {
		this.platform.down = true;
		applyVersion(this.peerHolder, 3);
		this.follower.onPeerVersion(PEER, 3);
		assertThat(this.holder.inForce().version()).isEqualTo(3);
		this.follower.onPeerVersion(PEER, 3);
		assertThat(this.fetchedFrom).containsExactly(PEER);
	}

	@Test
	void whenThePeerIsUnreachableTheStoreIsReadImmediately() {
		submit(0);
		this.peerDown = true;
		this.follower.onPeerVersion(PEER, 1);
		assertThat(this.holder.inForce().version()).isEqualTo(1);
	}

	/**
	 * Guards against a revert of the configuration: a peer that was paused resumes and
	 * sends its old version, or an earlier answer of the store arrives late. The newer
	 * version must stay in force.
	 */
	@Test
	void anOlderVersionNeverReplacesANewerOneWhateverItsSource() {
		applyVersion(this.holder, 5);
		applyVersion(this.holder, 4);
		this.follower.onPeerVersion(PEER, 4);
		submit(0);
		tickAfter(Duration.ofSeconds(10));
		assertThat(this.holder.inForce().version()).isEqualTo(5);
	}

	/**
	 * Guards against serving with default limits that contradict the document in force: a
	 * daemon restarts while the store is unavailable. It must wait for the version of its
	 * peers.
	 */
	@Test
	void aRestartDuringAnOutageServesNothingUntilAPeerReportsTheVersion() {
		this.platform.down = true;
		this.follower.tick();
		assertThat(this.holder.inForce().known()).isFalse();
		applyVersion(this.peerHolder, 2);
		this.follower.onPeerVersion(PEER, 2);
		assertThat(this.holder.inForce().version()).isEqualTo(2);
	}

	@Test
	void anOutageNeverRevertsTheVersionInForce() {
		submit(0);
		this.follower.tick();
		this.platform.down = true;
		tickAfter(Duration.ofSeconds(60));
		assertThat(this.holder.inForce().version()).isEqualTo(1);
		this.platform.down = false;
		this.platform.rows.clear();
		tickAfter(Duration.ofSeconds(60));
		assertThat(this.holder.inForce().version()).isEqualTo(1);
	}

	@Test
	void aMemberThatReceivesVersionsInHeartbeatsDoesNotReadTheTable() {
		this.follower.tick();
		int before = this.platform.reads;
		for (int second = 0; second < 60; second++) {
			this.follower.onPeerVersion(PEER, 0);
			tickAfter(Duration.ofSeconds(1));
		}
		assertThat(this.platform.reads).isEqualTo(before);
	}

	@Test
	void aLeaseManagerReadsTheRowAboutOnceASecond() {
		this.isLeaseManager = true;
		this.follower.tick();
		int before = this.platform.reads;
		for (int step = 0; step < 600; step++) {
			this.follower.onPeerVersion(PEER, 0);
			tickAfter(Duration.ofMillis(100));
		}
		assertThat(this.platform.reads - before).isIn(com.google.common.collect.Range.closed(55, 85));
	}

	@Test
	void aDamagedBodyIsRefusedAndReportedOnce() {
		submit(0);
		this.platform.objects.replaceAll((name, body) -> new byte[] { 1, 2, 3 });
		this.isLeaseManager = true;
		for (int second = 0; second < 5; second++) {
			tickAfter(Duration.ofSeconds(2));
		}
		assertThat(this.holder.inForce().known()).isFalse();
		assertThat(this.events.after(0).stream().filter((event) -> event.kind() == EventKind.DOCUMENT_UNREADABLE))
			.hasSize(1);
	}

	private Promise<byte[]> fetchFromPeer(InstanceId peer) {
		this.fetchedFrom.add(peer);
		return (this.peerDown) ? Promise.ofException(new java.io.IOException("peer unreachable"))
				: Promise.of(this.peerHolder.storedVersion().orElseThrow().bytes());
	}

	private void tickAfter(Duration elapsed) {
		this.nanos += TimeUnit.MILLISECONDS.toNanos(elapsed.toMillis());
		this.follower.tick();
	}

	private void submit(long base) {
		Submitter submitter = new Submitter(this.store, new DocumentHolder(this.events), this.events, () -> 0);
		assertThat(submitter.submit(SubmitterTests.submission("s-" + base, base, "1")).getResult())
			.isInstanceOf(SubmitOutcome.Accepted.class);
	}

	private static void applyVersion(DocumentHolder holder, long version) {
		StoredDocument stored = new StoredDocument(version, "", "s-" + version, 0,
				SubmitterTests.submission("", 0, "1").document());
		holder.applyIfNewer(DocumentCodec.encode(stored), stored);
	}

}
