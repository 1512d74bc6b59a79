package org.brasspier.bench.capacity;

import java.util.List;

/**
 * All slopes of one benchmark run. Immutable and thread-safe.
 *
 * @param slopes the slopes
 */
record MeasuredSlopes(List<Slope> slopes) {

	MeasuredSlopes {
		slopes = List.copyOf(slopes);
	}

	Slope get(String name) {
		return this.slopes.stream()
			.filter((slope) -> slope.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("no slope is named \"%s\"".formatted(name)));
	}

}
