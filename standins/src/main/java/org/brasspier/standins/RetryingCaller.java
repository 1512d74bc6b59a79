package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import io.activej.promise.Promise;
import io.activej.promise.Promises;

/**
 * A caller that follows docs/API.md: it stores tickets, resends with the same id and
 * ticket to any daemon, and stops at its time limit. Belongs to one thread.
 */
final class RetryingCaller {

	private static final int DEFAULT_PAUSE_MILLIS = 20;

	private static final int MIN_ATTEMPT_MILLIS = 20;

	private static final Set<String> FINAL_ERRORS = Set.of("BAD_REQUEST", "UNAUTHORIZED", "UNKNOWN_SERVICE",
			"BODY_TOO_LARGE", "ID_REUSED", "POSSIBLY_RAN_BEFORE", "CRASHED_BACKENDS");

	private final CallerClient client;

	private final List<InetSocketAddress> daemons;

	private final CallerRetryPolicy retryPolicy;

	private final Map<String, String> ticketsByKey = new ConcurrentHashMap<>();

	RetryingCaller(CallerClient client, List<InetSocketAddress> daemons, CallerRetryPolicy retryPolicy) {
		this.client = client;
		this.retryPolicy = retryPolicy;
		this.daemons = List.copyOf(daemons);
	}

	Promise<CallerRecord> call(StandInRequest request) {
		PendingRequest pending = new PendingRequest(request);
		return send(pending).map((done) -> new CallerRecord(request, pending.attempts));
	}

	private Promise<Void> send(PendingRequest pending) {
		int remainingMillis = pending.remainingMillis();
		if (remainingMillis < MIN_ATTEMPT_MILLIS || pending.attempts.size() >= this.retryPolicy.maxAttempts()) {
			return Promise.complete();
		}
		StandInRequest request = pending.request;
		return this.client
			.send(request, chooseDaemon(pending),
					new CallerClient.AttemptOptions(pending.ticket, pending.mayHaveRun(),
							Math.min(remainingMillis, this.retryPolicy.attemptTimeoutMillis())))
			.then((attempt) -> {
				pending.attempts.add(attempt);
				return onAttemptEnd(pending, attempt);
			});
	}

	private Promise<Void> onAttemptEnd(PendingRequest pending, Attempt attempt) {
		StandInRequest request = pending.request;
		if (request.isPosting() && !attempt.ticket().isEmpty() && !request.key().isEmpty()) {
			this.ticketsByKey.put(request.service() + ":" + request.key(), attempt.ticket());
		}
		if (attempt.error().equals("TICKET_REQUIRED")) {
			pending.ticket = attempt.ticket();
			return send(pending);
		}
		// Means "unknown" even on the first attempt: the entry daemon may itself have
		// sent the posting twice, so that a resend under a new id could run it a
		// second time.
		if (attempt.error().equals("POSSIBLY_RAN_BEFORE")) {
			return Promise.complete();
		}
		if (attempt.answered() || FINAL_ERRORS.contains(attempt.error()) || attempt.ran().equals(Attempt.RAN)) {
			return Promise.complete();
		}
		int pause = (attempt.retryAfterMillis() > 0)
				? Math.min(attempt.retryAfterMillis(), this.retryPolicy.maxPauseMillis()) : DEFAULT_PAUSE_MILLIS;
		return (pause < pending.remainingMillis()) ? Promises.delay(pause).then(() -> send(pending))
				: Promise.complete();
	}

	private InetSocketAddress chooseDaemon(PendingRequest pending) {
		List<InetSocketAddress> others = (pending.attempts.isEmpty()) ? this.daemons
				: this.daemons.stream()
					.filter((daemon) -> !daemon.equals(pending.attempts.getLast().daemon()))
					.toList();
		List<InetSocketAddress> candidates = (others.isEmpty()) ? this.daemons : others;
		return candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
	}

	/**
	 * A request that has not ended yet, with its attempts.
	 */
	private final class PendingRequest {

		private final long deadlineNanos;

		private final List<Attempt> attempts = new ArrayList<>();

		private final StandInRequest request;

		private String ticket;

		PendingRequest(StandInRequest request) {
			this.request = request;
			this.deadlineNanos = System.nanoTime() + request.waitMillis() * 1_000_000L;
			this.ticket = (request.isPosting())
					? RetryingCaller.this.ticketsByKey.getOrDefault(request.service() + ":" + request.key(), "") : "";
		}

		int remainingMillis() {
			return (int) ((this.deadlineNanos - System.nanoTime()) / 1_000_000L);
		}

		boolean mayHaveRun() {
			return this.attempts.stream()
				.anyMatch((attempt) -> attempt.id().equals(this.request.id()) && !attempt.notRun());
		}

	}

}
