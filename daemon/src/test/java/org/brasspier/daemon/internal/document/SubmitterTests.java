package org.brasspier.daemon.internal.document;

import java.util.Map;
import java.util.TreeMap;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.document.Document;
import org.brasspier.core.document.FieldPath;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.platform.TableService.Row;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a submission gets its true outcome when writes conflict, get lost or are
 * delayed.
 */
class SubmitterTests {

	private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

	private final FakePlatform platform = new FakePlatform();

	private final EventLog events = new EventLog(100);

	private final DocumentHolder holder = new DocumentHolder(this.events);

	private final DocumentStore store = new DocumentStore(this.platform, this.platform);

	private final Submitter submitter = new Submitter(this.store, this.holder, this.events, () -> 1000);

	@Test
	void anAcceptedSubmissionIsInForceImmediatelyOnTheSubmittingDaemon() {
		assertThat(submit("first", 0, "1")).isInstanceOf(SubmitOutcome.Accepted.class);
		assertThat(submit("second", 1, "2")).isInstanceOf(SubmitOutcome.Accepted.class);
		assertThat(this.holder.inForce().version()).isEqualTo(2);
		assertThat(this.holder.inForce().document().weights().churn()).isEqualTo(2);
		assertThat(readDocumentInForce().previousHash()).isNotEmpty();
	}

	/**
	 * Guards against a lost update: two operators submit drafts of the same version, and
	 * the second one's write reaches the table between the first one's read and write.
	 * One must be accepted, and the other must get the version now in force.
	 */
	@Test
	void ofTwoConcurrentSubmissionsOneIsAcceptedAndTheOtherGetsTheVersionInForce() {
		submit("first", 0, "1");
		this.platform.beforeWrite = () -> assertThat(submit("second", 1, "2"))
			.isInstanceOf(SubmitOutcome.Accepted.class);
		SubmitOutcome refused = submit("third", 1, "3");
		assertThat(refused).isInstanceOf(SubmitOutcome.Conflict.class);
		assertThat(((SubmitOutcome.Conflict) refused).inForce().orElseThrow().stored().document().weights().churn())
			.isEqualTo(2);
		assertThat(this.holder.inForce().version()).isEqualTo(2);
	}

	/**
	 * Guards against a guessed outcome: the table applies the write, but its answer is
	 * lost. Answering "refused" or "accepted" without reading back would be wrong half of
	 * the time.
	 */
	@Test
	void aWriteWhoseAnswerWasLostIsResolvedBeforeTheOperatorIsAnswered() {
		this.platform.writeFaults.add(FakePlatform.WriteFault.ANSWER_LOST);
		assertThat(submit("first", 0, "1")).isInstanceOf(SubmitOutcome.Accepted.class);
		assertThat(this.platform.rows.get(DocumentStore.POINTER_KEY).version()).isEqualTo(1);
	}

	@Test
	void aWriteThatNeverArrivedIsSentAgain() {
		this.platform.writeFaults.add(FakePlatform.WriteFault.WRITE_LOST);
		this.platform.writeFaults.add(FakePlatform.WriteFault.WRITE_LOST);
		assertThat(submit("first", 0, "1")).isInstanceOf(SubmitOutcome.Accepted.class);
	}

	/**
	 * Guards against a false conflict: the answer is lost, and before the row is read
	 * back another operator's submission has replaced this one. This one took effect,
	 * though the row points to the other.
	 */
	@Test
	void aLostAnswerIsResolvedThoughAnotherSubmissionHasFollowed() {
		submit("first", 0, "1");
		this.platform.writeFaults.add(FakePlatform.WriteFault.ANSWER_LOST);
		this.platform.afterLostAnswer = () -> submit("third", 2, "3");
		assertThat(submit("second", 1, "2")).isInstanceOf(SubmitOutcome.Accepted.class);
		assertThat(this.holder.inForce().version()).isEqualTo(3);
	}

	/**
	 * Guards against a delayed write that reverts the configuration: a write is delayed
	 * in the network while another operator's submission is accepted. When the delayed
	 * write arrives, it must change nothing.
	 */
	@Test
	void aDelayedWriteNeverReplacesTheAcceptedSubmission() {
		submit("first", 0, "1");
		this.platform.writeFaults.add(FakePlatform.WriteFault.WRITE_LATE);
		Promise<SubmitOutcome> delayed = this.submitter.submit(submission("second", 1, "2"));
		submit("third", 1, "3");
		this.platform.deliverDelayedWrite();
		SubmitOutcome outcome = await(delayed);
		long churn = (long) readDocumentInForce().document().weights().churn();
		assertThat(outcome instanceof SubmitOutcome.Accepted).isEqualTo(churn == 2);
		assertThat(readDocumentInForce().version()).isEqualTo(2);
	}

	@Test
	void aRepeatedSubmissionGetsTheOutcomeOfTheFirst() {
		SubmitOutcome first = submit("first", 0, "1");
		submit("second", 1, "2");
		assertThat(submit("first", 0, "1")).isEqualTo(first);
		assertThat(this.holder.inForce().version()).isEqualTo(2);
	}

	@Test
	void aSubmissionFailsWithoutEffectWhileTheStoreIsUnavailable() {
		this.platform.down = true;
		SubmitOutcome outcome = submit("first", 0, "1");
		assertThat(((SubmitOutcome.Failed) outcome).failure().kind()).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
	}

	@Test
	void aDocumentWithFaultsNeverReachesTheStore() {
		assertThat(submit("first", 0, "much")).isInstanceOf(SubmitOutcome.Invalid.class);
		assertThat(this.platform.objects).isEmpty();
	}

	@Test
	void aDamagedRowIsRefusedAndNeverOverwritten() {
		byte[] damaged = "brasspier 1 nonsense\n{}".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
		this.platform.rows.put(DocumentStore.POINTER_KEY, new Row(4, damaged));
		SubmitOutcome outcome = submit("first", 0, "1");
		assertThat(((SubmitOutcome.Failed) outcome).failure().kind()).isEqualTo(ErrorKind.STATE_UNREADABLE);
		assertThat(this.platform.rows.get(DocumentStore.POINTER_KEY).value()).isEqualTo(damaged);
	}

	private org.brasspier.wire.document.StoredDocument readDocumentInForce() {
		return await(this.store.readPointer().then((row) -> this.store.readBody(row.orElseThrow().pointer().hash())))
			.stored();
	}

	private SubmitOutcome submit(String id, long base, String churn) {
		return await(this.submitter.submit(submission(id, base, churn)));
	}

	static Submission submission(String id, long base, String churn) {
		Map<FieldPath, String> values = new TreeMap<>();
		values.put(new FieldPath("service/hullbook/divided-by-key"), "yes");
		values.put(new FieldPath("domains/regions"), "duluth=great-lakes");
		values.put(new FieldPath("weights/churn"), churn);
		return new Submission(id, base, Document.of(values));
	}

	private <T> T await(Promise<T> promise) {
		if (!promise.isComplete()) {
			this.loop.run();
		}
		return promise.getResult();
	}

}
