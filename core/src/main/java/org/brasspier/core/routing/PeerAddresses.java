package org.brasspier.core.routing;

import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * The addresses of the daemons of a cell. Immutable and thread-safe.
 *
 * @param byInstance the address of each known instance
 */
public record PeerAddresses(Map<InstanceId, PeerAddress> byInstance) {

	/**
	 * Copies the map.
	 */
	public PeerAddresses {
		byInstance = Map.copyOf(byInstance);
	}

	/**
	 * Finds an instance's address.
	 * @param instance the instance
	 * @return empty if the instance is unknown
	 */
	public Optional<PeerAddress> find(InstanceId instance) {
		return Optional.ofNullable(this.byInstance.get(instance));
	}

}
