package org.brasspier.core.ownership;

import java.util.Optional;
import java.util.stream.Stream;

import org.brasspier.core.InstanceId;

/**
 * The lease managers of one epoch. Immutable and thread-safe.
 *
 * @param epoch the epoch
 * @param primary the manager that writes the row
 * @param secondary the manager that also renews leases and monitors the primary, if there
 * is one
 */
public record ManagerPair(long epoch, MemberKey primary, Optional<MemberKey> secondary) {

	/**
	 * Returns the managers.
	 * @return one or two
	 */
	public Stream<MemberKey> managers() {
		return Stream.concat(Stream.of(this.primary), this.secondary.stream());
	}

	/**
	 * Returns whether a process manages leases in this epoch.
	 * @param key the process
	 * @return true if it does
	 */
	public boolean includes(MemberKey key) {
		return this.primary.equals(key) || this.secondary.filter(key::equals).isPresent();
	}

	/**
	 * Returns the other manager.
	 * @param key one manager
	 * @return the other one, empty if there is none
	 */
	public Optional<MemberKey> peerOf(MemberKey key) {
		return (this.primary.equals(key)) ? this.secondary : Optional.of(this.primary);
	}

	/**
	 * Returns the manager that runs on an instance.
	 * @param instance the instance
	 * @return the manager, empty if none runs there
	 */
	public Optional<MemberKey> find(InstanceId instance) {
		return managers().filter((key) -> key.instance().equals(instance)).findFirst();
	}

}
