package org.brasspier.core.keys;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.Fence;

/**
 * What a backend server says of the keys it holds. Immutable and thread-safe.
 *
 * @param incarnation the life that says so
 * @param holds what it holds or is still working on
 * @param freed what it has released since its last acknowledged heartbeat
 */
public record HoldReport(BackendIncarnation incarnation, List<HeldKeys> holds, List<ReleasedKeys> freed) {

	/**
	 * Copies the lists.
	 */
	public HoldReport {
		holds = List.copyOf(holds);
		freed = List.copyOf(freed);
	}

	boolean holds(KeySpan span, Fence fence) {
		return this.holds.stream().anyMatch((held) -> held.span().covers(span) && held.fence().equals(fence));
	}

	boolean holdsAny(KeySpan span) {
		return this.holds.stream().anyMatch((held) -> held.span().overlaps(span));
	}

	Optional<String> released(KeySpan span) {
		return this.freed.stream()
			.filter((released) -> released.span().covers(span))
			.map(ReleasedKeys::handover)
			.findFirst();
	}

}
