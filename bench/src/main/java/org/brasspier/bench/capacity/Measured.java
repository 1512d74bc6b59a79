package org.brasspier.bench.capacity;

import java.util.List;

/**
 * All slopes of one run. Immutable and thread-safe.
 *
 * @param slopes the slopes
 */
record Measured(List<Slope> slopes) {

	Measured {
		slopes = List.copyOf(slopes);
	}

	Slope named(String name) {
		return this.slopes.stream()
			.filter((slope) -> slope.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("no slope is named \"%s\"".formatted(name)));
	}

}
