package org.brasspier.core.request;

import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RequestLedgerTests {

	private static final ServiceName HULLBOOK = new ServiceName("hullbook");

	private static final Fence FENCE = new Fence(7);

	private final RequestLedger ledger = new RequestLedger(99, new LedgerLimits(3, 100, 600_000), 0);

	@Test
	void aPostingWithoutATicketIsRefused() {
		assertThat(refusal(this.ledger.admit(posting("a"), Optional.empty(), true, 1)))
			.isEqualTo(ErrorKind.TICKET_REQUIRED);
	}

	@Test
	void aRetryWaitsForTheFirstAttemptAndThenGetsItsAnswer() {
		// A crew's booking runs, but its answer is lost. The crew retries it while it
		// runs and again afterwards. It must run once, and both retries must get the
		// answer of that run.
		Optional<Ticket> ticket = ticket(1);
		assertThat(this.ledger.admit(posting("a"), ticket, false, 2)).isInstanceOf(LedgerDecision.Run.class);
		assertThat(this.ledger.admit(posting("a"), ticket, false, 3)).isInstanceOf(LedgerDecision.Join.class);
		Either<Failure, Answer> end = Either.right(new Answer(201, List.of(), new byte[4]));
		this.ledger.recordOutcome(posting("a"), end);
		assertThat(this.ledger.admit(posting("a"), ticket, false, 4)).isEqualTo(new LedgerDecision.Completed(end));
	}

	@Test
	void aPostingThatDidNotRunMayRunLater() {
		this.ledger.admit(posting("a"), ticket(1), false, 2);
		this.ledger.recordNotRun(posting("a"));
		assertThat(this.ledger.admit(posting("a"), ticket(1), false, 3)).isInstanceOf(LedgerDecision.Run.class);
	}

	@Test
	void anIdReusedForOtherContentsIsRefused() {
		this.ledger.admit(posting("a"), ticket(1), false, 2);
		Posting other = new Posting(HULLBOOK, FENCE, new RequestId("a"), 2);
		assertThat(refusal(this.ledger.admit(other, ticket(1), false, 3))).isEqualTo(ErrorKind.ID_REUSED);
	}

	@Test
	void aPostingWithATicketOfAnEarlierOwnerDoesNotRun() {
		// The first owner ran a return and was lost before it answered. The desk retries
		// it, and it reaches the next owner, which can't know of it.
		Optional<Ticket> old = Optional.of(new Ticket(HULLBOOK, new Fence(6), 5, 1));
		assertThat(refusal(this.ledger.admit(posting("a"), old, false, 2))).isEqualTo(ErrorKind.POSSIBLY_RAN_BEFORE);
		assertThat(refusal(this.ledger.admit(posting("a"), old, true, 2))).isEqualTo(ErrorKind.TICKET_REQUIRED);
	}

	@Test
	void aTicketOfAnotherOwnerUnderTheSameFenceIsForAnotherRange() {
		Optional<Ticket> other = Optional.of(new Ticket(HULLBOOK, FENCE, 5, 1));
		assertThat(refusal(this.ledger.admit(posting("a"), other, false, 2))).isEqualTo(ErrorKind.TICKET_REQUIRED);
	}

	@Test
	void aPostingWithATicketOlderThanAForgottenOneDoesNotRun() {
		// More postings arrive than the ledger holds, so the oldest is forgotten. Its
		// retry must not run again, while a new ticket is accepted.
		Optional<Ticket> early = ticket(1);
		List.of("a", "b", "c", "d").forEach((id) -> {
			assertThat(this.ledger.admit(posting(id), early, false, 2)).isInstanceOf(LedgerDecision.Run.class);
			this.ledger.recordOutcome(posting(id), Either.left(Failure.of(ErrorKind.OUTCOME_UNKNOWN, "lost")));
		});
		assertThat(this.ledger.size()).isEqualTo(3);
		assertThat(refusal(this.ledger.admit(posting("a"), early, false, 3))).isEqualTo(ErrorKind.POSSIBLY_RAN_BEFORE);
		assertThat(this.ledger.admit(posting("e"), ticket(3), false, 3)).isInstanceOf(LedgerDecision.Run.class);
	}

	@Test
	void postingsInProgressAreNeverForgotten() {
		List.of("a", "b", "c").forEach((id) -> this.ledger.admit(posting(id), ticket(1), false, 2));
		assertThat(refusal(this.ledger.admit(posting("d"), ticket(1), false, 3))).isEqualTo(ErrorKind.OVERLOADED);
		assertThat(this.ledger.admit(posting("a"), ticket(1), false, 900_000)).isInstanceOf(LedgerDecision.Join.class);
	}

	@Test
	void aPostingWhoseAnswerIsNoLongerKeptDoesNotRunAgain() {
		for (String id : List.of("a", "b")) {
			this.ledger.admit(posting(id), ticket(1), false, 2);
			this.ledger.recordOutcome(posting(id), Either.right(new Answer(200, List.of(), new byte[80])));
		}
		assertThat(refusal(this.ledger.admit(posting("a"), ticket(1), false, 3)))
			.isEqualTo(ErrorKind.POSSIBLY_RAN_BEFORE);
		assertThat(this.ledger.admit(posting("b"), ticket(1), false, 3)).isInstanceOf(LedgerDecision.Completed.class);
	}

	private Optional<Ticket> ticket(long nowMillis) {
		return Optional.of(this.ledger.issueTicket(HULLBOOK, FENCE, nowMillis));
	}

	private static Posting posting(String id) {
		return new Posting(HULLBOOK, FENCE, new RequestId(id), 1);
	}

	private static ErrorKind refusal(LedgerDecision admission) {
		return ((LedgerDecision.Refused) admission).failure().kind();
	}

}
