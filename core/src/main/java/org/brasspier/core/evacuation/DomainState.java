package org.brasspier.core.evacuation;

import org.brasspier.core.FailureDomain;

/**
 * Whether one failure domain is evacuated. Immutable and thread-safe.
 *
 * @param domain the domain
 * @param evacuated whether its evacuation is requested
 * @param version the version of the store as of which this holds, at least 0
 */
public record DomainState(FailureDomain domain, boolean evacuated, long version) {

	/**
	 * Checks the version.
	 * @throws IllegalArgumentException if the version is negative
	 */
	public DomainState {
		if (version < 0) {
			throw new IllegalArgumentException("version %d must not be negative".formatted(version));
		}
	}

}
