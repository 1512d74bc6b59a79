package org.brasspier.daemon.internal.event;

import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.RequestId;
import org.brasspier.core.request.CallerRequest;

/**
 * What an event happened to, so that the time line can be read by it. Immutable and
 * thread-safe.
 *
 * @param text the subject as text
 * @param request the request, if it's one
 * @param key the request's key, if it has one
 * @param range the range, if it's one
 * @param instance the instance, if it's one
 */
public record EventSubject(String text, Optional<String> request, Optional<String> key, Optional<KeyRange> range,
		Optional<String> instance) {

	/**
	 * Names a subject by what it is.
	 * @param subject a request, its id, a range, an instance, or anything with a text
	 * @return the subject
	 */
	static EventSubject of(Object subject) {
		return switch (subject) {
			case CallerRequest request -> new EventSubject(request.id().value(), Optional.of(request.id().value()),
					request.key(), Optional.empty(), Optional.empty());
			case RequestId id -> new EventSubject(id.value(), Optional.of(id.value()), Optional.empty(),
					Optional.empty(), Optional.empty());
			case KeyRange range -> new EventSubject(range.toString(), Optional.empty(), Optional.empty(),
					Optional.of(range), Optional.empty());
			case InstanceId instance -> new EventSubject(instance.value(), Optional.empty(), Optional.empty(),
					Optional.empty(), Optional.of(instance.value()));
			default -> new EventSubject(subject.toString(), Optional.empty(), Optional.empty(), Optional.empty(),
					Optional.empty());
		};
	}

}
