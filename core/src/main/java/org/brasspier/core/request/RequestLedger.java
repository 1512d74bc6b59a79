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
 * The harm it prevents: a booking whose answer was lost is sent again and bills a marina
 * twice. Why it holds: a posting runs only under the issuer and fence of its ticket, so
 * all its runs would be at this one process; here it runs only if its id is not
 * remembered <em>and</em> its ticket is younger than all that was forgotten. Each send
 * repeats the ticket, so an id that was admitted and forgotten always comes with a ticket
 * that is too old.
 *
 * <p>
 * Made for some hundred postings a second at each owner: {@link LedgerLimits#entries()}
 * bounds the memory at that load, and where a burst fills it the oldest are forgotten
 * early, which makes old tickets worthless but never lets anything run twice. Entries of
 * a fence that is no longer held are kept too: a member whose lease lapsed may be granted
 * the same fence again. Not thread-safe.
 */
public final class RequestLedger {

	private final long issuer;

	private final LedgerLimits limits;

	/** In the order of admission, so the oldest come first. */
	private final LinkedHashMap<EntryKey, Entry> entries = new LinkedHashMap<>();

	private long forgottenUpToMillis;

	private long keptBytes;

	/**
	 * Creates a ledger that remembers nothing and has forgotten nothing.
	 * @param issuer a random number for this process
	 * @param limits how much it remembers
	 * @param nowMillis the time on this process's monotonic clock
	 */
	public RequestLedger(long issuer, LedgerLimits limits, long nowMillis) {
		this.issuer = issuer;
		this.limits = limits;
		this.forgottenUpToMillis = nowMillis - 1;
	}

	/**
	 * Issues a ticket for the next posting.
	 * @param service the service
	 * @param fence the present fence of the range
	 * @param nowMillis the time on the monotonic clock
	 * @return the ticket
	 */
	public Ticket issueTicket(ServiceName service, Fence fence, long nowMillis) {
		return new Ticket(service, fence, this.issuer, nowMillis);
	}

	/**
	 * Decides about one send of a posting.
	 * @param posting the posting, with the present fence of its range
	 * @param ticket the ticket it came with
	 * @param firstSend whether the caller says that no earlier send can have run
	 * @param nowMillis the time on the monotonic clock
	 * @return what to do with it
	 */
	public LedgerDecision admit(Posting posting, Optional<Ticket> ticket, boolean firstSend, long nowMillis) {
		forgetOlderThan(nowMillis - this.limits.horizonMillis());
		if (ticket.isEmpty()) {
			return refused(ErrorKind.TICKET_REQUIRED, "a posting needs a ticket; send it with the one in this answer");
		}
		return checkTicket(posting, ticket.get(), firstSend)
			.orElseGet(() -> admitHere(posting, ticket.get(), firstSend, nowMillis));
	}

	private Optional<LedgerDecision> checkTicket(Posting posting, Ticket ticket, boolean firstSend) {
		if (!ticket.service().equals(posting.service())) {
			return Optional.of(refused(ErrorKind.TICKET_REQUIRED,
					"the ticket is for service %s; send with the one in this answer".formatted(ticket.service())));
		}
		if (ticket.fence().isOlderThan(posting.fence())) {
			return Optional.of(possiblyRan(firstSend, "the owner has changed since the ticket was issued"));
		}
		if (!ticket.fence().equals(posting.fence()) || ticket.issuer() != this.issuer) {
			// No owner of this key ever ran anything with this ticket: each demands its
			// own issuer and fence. So "not run" is certain.
			return Optional.of(refused(ErrorKind.TICKET_REQUIRED,
					"the ticket is for another key's range; send with the one in this answer"));
		}
		return Optional.empty();
	}

	private LedgerDecision admitHere(Posting posting, Ticket ticket, boolean firstSend, long nowMillis) {
		EntryKey key = EntryKey.of(posting);
		Entry known = this.entries.get(key);
		if (known != null) {
			return repeat(known, posting);
		}
		if (ticket.issuedAtMillis() <= this.forgottenUpToMillis) {
			return possiblyRan(firstSend, "the ticket is older than what its owner remembers");
		}
		if (this.entries.size() >= this.limits.entries() && !forgetOldest()) {
			return refused(ErrorKind.OVERLOADED, "too many postings are in progress");
		}
		this.entries.put(key, new Entry(posting.fingerprint(), nowMillis));
		return new LedgerDecision.Run();
	}

	private static LedgerDecision repeat(Entry known, Posting posting) {
		if (known.fingerprint != posting.fingerprint()) {
			return refused(ErrorKind.ID_REUSED, "request id %s was used for other contents".formatted(posting.id()));
		}
		if (known.inProgress) {
			return new LedgerDecision.Join();
		}
		return known.end.<LedgerDecision>map(LedgerDecision.Completed::new)
			.orElseGet(
					() -> refused(ErrorKind.POSSIBLY_RAN_BEFORE, "the posting has run; its answer is no longer kept"));
	}

	private static LedgerDecision possiblyRan(boolean firstSend, String why) {
		return (firstSend)
				? refused(ErrorKind.TICKET_REQUIRED, why + "; send the posting with the ticket in this answer")
				: refused(ErrorKind.POSSIBLY_RAN_BEFORE, why + "; an earlier send may have run");
	}

	private static LedgerDecision refused(ErrorKind kind, String detail) {
		return new LedgerDecision.Refused(Failure.of(kind, detail));
	}

	/**
	 * An admitted posting ended, and its outcome is final: a resend gets it again.
	 * @param posting the posting as it was admitted
	 * @param end how it ended
	 */
	public void recordOutcome(Posting posting, Either<Failure, Answer> end) {
		Entry entry = this.entries.get(EntryKey.of(posting));
		if (entry == null) {
			return;
		}
		entry.inProgress = false;
		int bytes = end.map(RequestLedger::size).getOrElse(0);
		if (bytes <= this.limits.answerBytes()) {
			entry.end = Optional.of(end);
			this.keptBytes += bytes;
			dropOldestAnswers();
		}
	}

	/**
	 * An admitted posting certainly did not run and will not; a resend may run it.
	 * @param posting the posting as it was admitted
	 */
	public void recordNotRun(Posting posting) {
		this.entries.remove(EntryKey.of(posting));
	}

	/**
	 * How many postings are remembered.
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
		release(entry);
	}

	private void dropOldestAnswers() {
		if (this.keptBytes <= this.limits.answerBytes()) {
			return;
		}
		for (Entry entry : this.entries.values()) {
			release(entry);
			if (this.keptBytes <= this.limits.answerBytes()) {
				return;
			}
		}
	}

	private void release(Entry entry) {
		entry.end.ifPresent((end) -> this.keptBytes -= end.map(RequestLedger::size).getOrElse(0));
		entry.end = Optional.empty();
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

		private Optional<Either<Failure, Answer>> end = Optional.empty();

		Entry(long fingerprint, long admittedAtMillis) {
			this.fingerprint = fingerprint;
			this.admittedAtMillis = admittedAtMillis;
		}

	}

}
