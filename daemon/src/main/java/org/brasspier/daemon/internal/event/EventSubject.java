package org.brasspier.daemon.internal.event;

import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.RequestId;
import org.brasspier.core.request.CallerRequest;

/**
 * Subject of an event, by which events can be filtered. Immutable and thread-safe.
 *
 * @param text the subject as text
 * @param request the request id, if the subject is a request
 * @param key the key of the request, if it has one
 * @param range the range, if the subject is a range
 * @param instance the instance, if the subject is an instance
 */
public record EventSubject(String text, Optional<String> request, Optional<String> key, Optional<KeyRange> range,
		Optional<String> instance) {

	/**
	 * Creates the subject that corresponds to the type of an object.
	 * @param subject a request, its id, a range, an instance, or any other object, whose
	 * {@link Object#toString()} is used
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
