package org.brasspier.core.keys;

import java.util.List;

import org.brasspier.core.InstanceId;

/**
 * Load and capacity of one holder. Immutable and thread-safe.
 *
 * @param instance its instance
 * @param capacity requests per second that its backend server can run; above 0
 * @param pieces the load of its keys, split into pieces that can move independently
 */
public record HolderLoad(InstanceId instance, double capacity, List<KeyLoad> pieces) {

	/**
	 * Checks the capacity and copies the list.
	 * @throws IllegalArgumentException if the capacity is not positive
	 */
	public HolderLoad {
		pieces = List.copyOf(pieces);
		if (!(capacity > 0)) {
			throw new IllegalArgumentException(
					"instance %s: capacity %s must be positive".formatted(instance, capacity));
		}
	}

	double rate() {
		return this.pieces.stream().mapToDouble(KeyLoad::rate).sum();
	}

}
