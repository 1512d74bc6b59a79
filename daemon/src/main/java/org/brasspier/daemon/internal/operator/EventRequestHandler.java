package org.brasspier.daemon.internal.operator;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.daemon.internal.event.Event;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.event.EventSubject;
import org.brasspier.wire.operator.EventsAnswer;

/**
 * Handles requests for the event log of this daemon, filtered by query parameters. Not
 * thread-safe; confined to the operators thread.
 */
final class EventRequestHandler {

	/**
	 * About 500 KB of JSON, which is enough for one page and fits the small heap of the
	 * daemon.
	 */
	private static final int MAX_EVENTS = 2000;

	private final InstanceId self;

	private final EventLog events;

	EventRequestHandler(InstanceId self, EventLog events) {
		this.self = self;
		this.events = events;
	}

	Promise<HttpResponse> events(HttpRequest request) {
		QueryParameters query = QueryParameters.of(request);
		List<Event> newEvents = this.events.after(query.number("after").orElse(0L));
		List<Event> matching = newEvents.stream().filter(filter(query)).toList();
		List<Event> latest = matching.subList(Math.max(0, matching.size() - MAX_EVENTS), matching.size());
		long lastNumber = (newEvents.isEmpty()) ? query.number("after").orElse(0L) : newEvents.getLast().number();
		return Promise
			.of(JsonResponses.ok(new EventsAnswer(this.self.value(), lastNumber, this.events.totalLostEvents(),
					this.events.evictedUntil().orElse(0L), latest.stream().map((event) -> render(event)).toList())));
	}

	private static Predicate<Event> filter(QueryParameters query) {
		Predicate<Event> conditions = (event) -> true;
		Optional<String> kind = query.text("kind");
		if (kind.isPresent()) {
			conditions = conditions.and((event) -> event.kind().name().equalsIgnoreCase(kind.get())
					|| Integer.toString(event.kind().number()).equals(kind.get()));
		}
		Optional<String> request = query.text("request");
		if (request.isPresent()) {
			conditions = conditions.and((event) -> event.subject().request().equals(request));
		}
		Optional<String> instance = query.text("instance");
		if (instance.isPresent()) {
			conditions = conditions
				.and((event) -> event.subject().instance().equals(instance) || event.detail().contains(instance.get()));
		}
		Optional<String> key = query.text("key");
		if (key.isPresent()) {
			conditions = conditions.and((event) -> concernsKey(event.subject(), key.get()));
		}
		Optional<KeyRange> range = query.text("range").map(KeyRangeParser::parse);
		return (range.isPresent()) ? conditions.and((event) -> concernsRange(event.subject(), range.get()))
				: conditions;
	}

	private static boolean concernsKey(EventSubject subject, String key) {
		return subject.key().filter(key::equals).isPresent()
				|| subject.range().filter((range) -> range.contains(KeyHash.of(key))).isPresent();
	}

	private static boolean concernsRange(EventSubject subject, KeyRange range) {
		return subject.range().filter((other) -> other.low() < range.high() && range.low() < other.high()).isPresent()
				|| subject.key().filter((key) -> range.contains(KeyHash.of(key))).isPresent();
	}

	private EventsAnswer.Entry render(Event event) {
		return new EventsAnswer.Entry(event.number(), event.stamp().packed(), event.stamp().millis(),
				event.kind().number(), event.kind().name(), this.self.value(), event.subject().text(), event.detail());
	}

}
