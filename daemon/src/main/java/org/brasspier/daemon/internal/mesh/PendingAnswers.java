package org.brasspier.daemon.internal.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * Answers that are waited for on one connection, by the numbers of their questions.
 * Belongs to the thread of requests.
 *
 * @param <T> what an answer is
 */
final class PendingAnswers<T> {

	private final Map<Long, SettablePromise<Optional<T>>> answers = new HashMap<>();

	Promise<Optional<T>> register(long exchange) {
		SettablePromise<Optional<T>> answer = new SettablePromise<>();
		this.answers.put(exchange, answer);
		return answer;
	}

	// Numbers are never used twice, so a late answer finds nobody.
	void complete(long exchange, T answer) {
		Optional.ofNullable(this.answers.remove(exchange)).ifPresent((waiting) -> waiting.set(Optional.of(answer)));
	}

	boolean isEmpty() {
		return this.answers.isEmpty();
	}

	// The connection is gone, and no answer comes any more.
	void onConnectionLost() {
		List<SettablePromise<Optional<T>>> unanswered = List.copyOf(this.answers.values());
		this.answers.clear();
		unanswered.forEach((waiting) -> waiting.set(Optional.empty()));
	}

}
