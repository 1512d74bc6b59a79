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
 * A caller that follows docs/API.md: it keeps tickets, resends with the same id and
 * ticket to any daemon, and gives up when its time is over. Belongs to one thread.
 */
final class PersistentCaller {

	private static final int PAUSE_MILLIS = 20;

	private static final int MIN_ATTEMPT_MILLIS = 20;

	private static final Set<String> FINAL_ERRORS = Set.of("BAD_REQUEST", "UNAUTHORIZED", "UNKNOWN_SERVICE",
			"BODY_TOO_LARGE", "ID_REUSED", "POSSIBLY_RAN_BEFORE", "CRASHED_BACKENDS");

	private final CallerClient client;

	private final List<InetSocketAddress> daemons;

	private final CallerPatience patience;

	private final Map<String, String> tickets = new ConcurrentHashMap<>();

	PersistentCaller(CallerClient client, List<InetSocketAddress> daemons, CallerPatience patience) {
		this.client = client;
		this.patience = patience;
		this.daemons = List.copyOf(daemons);
	}

	Promise<CallerRecord> ask(StandInRequest request) {
		Conversation conversation = new Conversation(request);
		return send(conversation).map((done) -> new CallerRecord(request, conversation.attempts));
	}

	private Promise<Void> send(Conversation conversation) {
		int left = conversation.millisLeft();
		if (left < MIN_ATTEMPT_MILLIS || conversation.attempts.size() >= this.patience.mostSendings()) {
			return Promise.complete();
		}
		StandInRequest request = conversation.request;
		return this.client
			.send(request, daemon(conversation),
					new CallerClient.Sending(conversation.ticket, conversation.mayHaveRun(),
							Math.min(left, this.patience.sendingMillis())))
			.then((attempt) -> {
				conversation.attempts.add(attempt);
				return next(conversation, attempt);
			});
	}

	private Promise<Void> next(Conversation conversation, Attempt attempt) {
		StandInRequest request = conversation.request;
		if (request.posting() && !attempt.ticket().isEmpty() && !request.key().isEmpty()) {
			this.tickets.put(request.service() + ":" + request.key(), attempt.ticket());
		}
		if (attempt.error().equals("TICKET_REQUIRED")) {
			conversation.ticket = attempt.ticket();
			return send(conversation);
		}
		// Also of a first send this says "unknown": the entry daemon may itself have sent
		// the posting twice, so a new id could run it a second time.
		if (attempt.error().equals("POSSIBLY_RAN_BEFORE")) {
			return Promise.complete();
		}
		if (attempt.answered() || FINAL_ERRORS.contains(attempt.error()) || attempt.ran().equals(Attempt.RAN)) {
			return Promise.complete();
		}
		int pause = (attempt.retryAfterMillis() > 0)
				? Math.min(attempt.retryAfterMillis(), this.patience.mostPauseMillis()) : PAUSE_MILLIS;
		return (pause < conversation.millisLeft()) ? Promises.delay(pause).then(() -> send(conversation))
				: Promise.complete();
	}

	private InetSocketAddress daemon(Conversation conversation) {
		List<InetSocketAddress> others = (conversation.attempts.isEmpty()) ? this.daemons
				: this.daemons.stream()
					.filter((daemon) -> !daemon.equals(conversation.attempts.getLast().daemon()))
					.toList();
		List<InetSocketAddress> choice = (others.isEmpty()) ? this.daemons : others;
		return choice.get(ThreadLocalRandom.current().nextInt(choice.size()));
	}

	/**
	 * One request on its way.
	 */
	private final class Conversation {

		private final long endNanos;

		private final List<Attempt> attempts = new ArrayList<>();

		private final StandInRequest request;

		private String ticket;

		Conversation(StandInRequest request) {
			this.request = request;
			this.endNanos = System.nanoTime() + request.waitMillis() * 1_000_000L;
			this.ticket = (request.posting())
					? PersistentCaller.this.tickets.getOrDefault(request.service() + ":" + request.key(), "") : "";
		}

		int millisLeft() {
			return (int) ((this.endNanos - System.nanoTime()) / 1_000_000L);
		}

		boolean mayHaveRun() {
			return this.attempts.stream()
				.anyMatch((attempt) -> attempt.id().equals(this.request.id()) && !attempt.notRun());
		}

	}

}
