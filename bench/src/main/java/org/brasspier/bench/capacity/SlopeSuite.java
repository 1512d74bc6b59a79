package org.brasspier.bench.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * A group of slopes that are measured together.
 */
interface SlopeSuite {

	/**
	 * Measures all slopes of the group.
	 * @return the slopes
	 */
	List<Slope> measure();

	/**
	 * Measures one quantity at several sizes.
	 * @param name what is measured
	 * @param sizeName what the size counts
	 * @param unit the unit of the values
	 * @param sizes the sizes, at least four
	 * @param measurement returns the value at a size
	 * @return the slope
	 */
	static Slope measureSlope(String name, String sizeName, String unit, int[] sizes, IntToDoubleFunction measurement) {
		return Slope.of(name, sizeName, unit,
				Arrays.stream(sizes)
					.mapToObj((size) -> new Slope.Point(size, measurement.applyAsDouble(size)))
					.toList());
	}

}
