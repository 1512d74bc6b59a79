package org.brasspier.core.ownership;

import java.util.List;

/**
 * A held range with the marks that came with it from its earlier owners. Immutable and
 * thread-safe.
 *
 * @param held the range with the fence it's held under
 * @param marks what was in flight when earlier owners lost their backend servers
 */
public record MarkedRange(HeldRange held, List<CrashMark> marks) {

	/**
	 * Copies the list.
	 */
	public MarkedRange {
		marks = List.copyOf(marks);
	}

}
