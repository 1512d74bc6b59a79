package org.brasspier.daemon.internal.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * Pending answers of one connection, by exchange number. Not thread-safe; confined to the
 * request thread.
 *
 * @param <T> type of the answers
 */
final class PendingAnswers<T> {

	private final Map<Long, SettablePromise<Optional<T>>> answers = new HashMap<>();

	Promise<Optional<T>> register(long exchange) {
		SettablePromise<Optional<T>> answer = new SettablePromise<>();
		this.answers.put(exchange, answer);
		return answer;
	}

	// Exchange numbers are never reused, so a late answer is ignored.
	void complete(long exchange, T answer) {
		Optional.ofNullable(this.answers.remove(exchange)).ifPresent((waiting) -> waiting.set(Optional.of(answer)));
	}

	boolean isEmpty() {
		return this.answers.isEmpty();
	}

	// Completes all pending answers as empty: the connection is closed.
	void onConnectionLost() {
		List<SettablePromise<Optional<T>>> unanswered = List.copyOf(this.answers.values());
		this.answers.clear();
		unanswered.forEach((waiting) -> waiting.set(Optional.empty()));
	}

}
