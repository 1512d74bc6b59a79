package org.brasspier.daemon.internal.ownership;

import org.brasspier.core.InstanceId;

/**
 * Exchanges the version of the configuration document with peers through heartbeats.
 * Called in the ownership thread; implementations must not block.
 */
public interface DocumentVersions {

	/** Used until the operators' duty has set its own implementation. */
	DocumentVersions NONE = new DocumentVersions() {

		@Override
		public long current() {
			return 0;
		}

		@Override
		public void onPeerVersion(InstanceId peer, long version) {
			// No listener is set.
		}

	};

	/**
	 * Returns the version in force in this process.
	 * @return the version, 0 if none is in force
	 */
	long current();

	/**
	 * Called when a peer reports the version that it has in force.
	 * @param peer the peer
	 * @param version the version in force there
	 */
	void onPeerVersion(InstanceId peer, long version);

}
