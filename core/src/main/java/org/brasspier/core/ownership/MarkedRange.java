package org.brasspier.core.ownership;

import java.util.List;

/**
 * A held range with the crash marks of its earlier owners. Immutable and thread-safe.
 *
 * @param held the range and the fence under which it is held
 * @param marks the requests that were in flight when earlier owners lost their backend
 * servers
 */
public record MarkedRange(HeldRange held, List<CrashMark> marks) {

	/**
	 * Copies the list.
	 */
	public MarkedRange {
		marks = List.copyOf(marks);
	}

}
