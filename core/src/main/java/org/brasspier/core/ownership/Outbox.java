package org.brasspier.core.ownership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;

/**
 * Collects the actions of one step. Empty between steps. Not thread-safe.
 */
final class Outbox {

	private final Deque<OwnershipAction> actions = new ArrayDeque<>();

	void add(OwnershipAction action) {
		this.actions.add(action);
	}

	void send(InstanceId to, ControlMessage message) {
		add(new OwnershipAction.Send(to, message));
	}

	void recordEvent(EventKind kind, InstanceId subject, String detail) {
		add(new OwnershipAction.RecordEvent(kind, subject.value(), detail));
	}

	void publish() {
		if (!(this.actions.peekLast() instanceof OwnershipAction.Publish)) {
			add(new OwnershipAction.Publish());
		}
	}

	Optional<OwnershipAction> next() {
		return Optional.ofNullable(this.actions.pollFirst());
	}

}
