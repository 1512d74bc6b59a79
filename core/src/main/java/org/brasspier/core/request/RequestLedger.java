package org.brasspier.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.ServiceName;

/**
 * Remembers the postings that one owner process has admitted, so that none runs twice.
 *
 * <p>
 * It guards against a booking whose answer was lost: the caller retries it, and a marina
 * is billed twice. The guarantee follows from two rules. A posting runs only under the
 * issuer and fence of its ticket, so all its runs would be in this one process. In this
 * process it runs only if its id is not remembered <em>and</em> its ticket is newer than
 * all forgotten entries. Each retry repeats the ticket, so an id that was admitted and
 * forgotten always comes with a ticket that is too old.
 *
 * <p>
 * It is made for some hundred postings per second at each owner:
 * {@link LedgerLimits#entries()} bounds the memory at that load. If a burst exceeds the
 * limit, the oldest entries are forgotten early, which invalidates old tickets but never
 * lets a posting run twice. Entries of a fence that is no longer held are kept too,
 * because a member whose lease lapsed may be granted the same fence again. Not
 * thread-safe.
 */
public final class RequestLedger {

	private final long issuer;

	private final LedgerLimits limits;

	/** Ordered by admission, oldest first. */
	private final LinkedHashMap<EntryKey, Entry> entries = new LinkedHashMap<>();

	private long forgottenUpToMillis;

	private long keptAnswerBytes;

	/**
	 * Creates an empty ledger that has forgotten nothing.
	 * @param issuer a random number for this process
	 * @param limits limits on what it remembers
	 * @param nowMillis the current time, in milliseconds of this process's monotonic
	 * clock
	 */
	public RequestLedger(long issuer, LedgerLimits limits, long nowMillis) {
		this.issuer = issuer;
		this.limits = limits;
		this.forgottenUpToMillis = nowMillis - 1;
	}

	/**
	 * Issues a ticket for the next posting.
	 * @param service the service
	 * @param fence the current fence of the range
	 * @param nowMillis the current time, in milliseconds of the monotonic clock
	 * @return the ticket
	 */
	public Ticket issueTicket(ServiceName service, Fence fence, long nowMillis) {
		return new Ticket(service, fence, this.issuer, nowMillis);
	}

	/**
	 * Decides whether one send of a posting may run.
	 * @param posting the posting, with the current fence of its range
	 * @param ticket the ticket that came with it
	 * @param firstAttempt whether the caller states that no earlier attempt can have run
	 * @param nowMillis the current time, in milliseconds of the monotonic clock
	 * @return the decision
	 */
	public LedgerDecision admit(Posting posting, Optional<Ticket> ticket, boolean firstAttempt, long nowMillis) {
		forgetOlderThan(nowMillis - this.limits.horizonMillis());
		if (ticket.isEmpty()) {
			return refused(ErrorKind.TICKET_REQUIRED, "a posting needs a ticket; send it with the one in this answer");
		}
		return checkTicket(posting, ticket.get(), firstAttempt)
			.orElseGet(() -> admitHere(posting, ticket.get(), firstAttempt, nowMillis));
	}

	private Optional<LedgerDecision> checkTicket(Posting posting, Ticket ticket, boolean firstAttempt) {
		if (!ticket.service().equals(posting.service())) {
			return Optional.of(refused(ErrorKind.TICKET_REQUIRED,
					"the ticket is for service %s; send with the one in this answer".formatted(ticket.service())));
		}
		if (ticket.fence().isOlderThan(posting.fence())) {
			return Optional.of(possiblyRan(firstAttempt, "the owner has changed since the ticket was issued"));
		}
		if (!ticket.fence().equals(posting.fence()) || ticket.issuer() != this.issuer) {
			// No owner of this key ever ran anything with this ticket, because each one
			// requires its own issuer and fence. So it certainly did not run.
			return Optional.of(refused(ErrorKind.TICKET_REQUIRED,
					"the ticket is for another key's range; send with the one in this answer"));
		}
		return Optional.empty();
	}

	private LedgerDecision admitHere(Posting posting, Ticket ticket, boolean firstAttempt, long nowMillis) {
		EntryKey key = EntryKey.of(posting);
		Entry known = this.entries.get(key);
		if (known != null) {
			return decideRetry(known, posting);
		}
		if (ticket.issuedAtMillis() <= this.forgottenUpToMillis) {
			return possiblyRan(firstAttempt, "the ticket is older than what its owner remembers");
		}
		if (this.entries.size() >= this.limits.entries() && !forgetOldest()) {
			return refused(ErrorKind.OVERLOADED, "too many postings are in progress");
		}
		this.entries.put(key, new Entry(posting.fingerprint(), nowMillis));
		return new LedgerDecision.Run();
	}

	private static LedgerDecision decideRetry(Entry known, Posting posting) {
		if (known.fingerprint != posting.fingerprint()) {
			return refused(ErrorKind.ID_REUSED, "request id %s was used for other contents".formatted(posting.id()));
		}
		if (known.inProgress) {
			return new LedgerDecision.Join();
		}
		return known.outcome.<LedgerDecision>map(LedgerDecision.Completed::new)
			.orElseGet(
					() -> refused(ErrorKind.POSSIBLY_RAN_BEFORE, "the posting has run; its answer is no longer kept"));
	}

	private static LedgerDecision possiblyRan(boolean firstAttempt, String reason) {
		return (firstAttempt)
				? refused(ErrorKind.TICKET_REQUIRED, reason + "; send the posting with the ticket in this answer")
				: refused(ErrorKind.POSSIBLY_RAN_BEFORE, reason + "; an earlier attempt may have run");
	}

	private static LedgerDecision refused(ErrorKind kind, String detail) {
		return new LedgerDecision.Refused(Failure.of(kind, detail));
	}

	/**
	 * Records the final outcome of an admitted posting; a retry gets the same outcome.
	 * @param posting the posting as it was admitted
	 * @param outcome the outcome
	 */
	public void recordOutcome(Posting posting, Either<Failure, Answer> outcome) {
		Entry entry = this.entries.get(EntryKey.of(posting));
		if (entry == null) {
			return;
		}
		entry.inProgress = false;
		int bytes = outcome.map(RequestLedger::size).getOrElse(0);
		if (bytes <= this.limits.answerBytes()) {
			entry.outcome = Optional.of(outcome);
			this.keptAnswerBytes += bytes;
			dropOldestAnswers();
		}
	}

	/**
	 * Records that an admitted posting certainly did not run and will not; a retry may
	 * run it.
	 * @param posting the posting as it was admitted
	 */
	public void recordNotRun(Posting posting) {
		this.entries.remove(EntryKey.of(posting));
	}

	/**
	 * Returns the number of remembered postings.
	 * @return at most the limit
	 */
	public int size() {
		return this.entries.size();
	}

	private void forgetOlderThan(long millis) {
		while (!this.entries.isEmpty()) {
			Entry oldest = this.entries.firstEntry().getValue();
			if (oldest.admittedAtMillis > millis || oldest.inProgress) {
				return;
			}
			forget(this.entries.pollFirstEntry().getValue());
		}
	}

	private boolean forgetOldest() {
		Optional<Map.Entry<EntryKey, Entry>> oldest = this.entries.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().inProgress)
			.findFirst();
		oldest.ifPresent((entry) -> {
			this.entries.remove(entry.getKey());
			forget(entry.getValue());
		});
		return oldest.isPresent();
	}

	private void forget(Entry entry) {
		this.forgottenUpToMillis = Math.max(this.forgottenUpToMillis, entry.admittedAtMillis);
		dropAnswer(entry);
	}

	private void dropOldestAnswers() {
		if (this.keptAnswerBytes <= this.limits.answerBytes()) {
			return;
		}
		for (Entry entry : this.entries.values()) {
			dropAnswer(entry);
			if (this.keptAnswerBytes <= this.limits.answerBytes()) {
				return;
			}
		}
	}

	private void dropAnswer(Entry entry) {
		entry.outcome.ifPresent((outcome) -> this.keptAnswerBytes -= outcome.map(RequestLedger::size).getOrElse(0));
		entry.outcome = Optional.empty();
	}

	private static int size(Answer answer) {
		int headers = answer.headers()
			.stream()
			.mapToInt((field) -> field.name().length() + field.value().length())
			.sum();
		return answer.body().length + headers;
	}

	private record EntryKey(ServiceName service, Fence fence, String id) {

		static EntryKey of(Posting posting) {
			return new EntryKey(posting.service(), posting.fence(), posting.id().value());
		}

	}

	private static final class Entry {

		private final long fingerprint;

		private final long admittedAtMillis;

		private boolean inProgress = true;

		private Optional<Either<Failure, Answer>> outcome = Optional.empty();

		Entry(long fingerprint, long admittedAtMillis) {
			this.fingerprint = fingerprint;
			this.admittedAtMillis = admittedAtMillis;
		}

	}

}
