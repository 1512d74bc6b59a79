package org.brasspier.core.keys;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.Fence;

/**
 * Report of a backend server about its keys. Immutable and thread-safe.
 *
 * @param incarnation the reporting incarnation
 * @param holds keys that it holds or that running requests still use
 * @param freed keys released since its last acknowledged heartbeat
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
