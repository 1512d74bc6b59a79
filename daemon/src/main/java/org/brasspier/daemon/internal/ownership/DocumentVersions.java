package org.brasspier.daemon.internal.ownership;

import org.brasspier.core.InstanceId;

/**
 * The way of the configuration document's version through heartbeats. Called in the
 * thread of ownership; implementations return at once.
 */
public interface DocumentVersions {

	/** Used until the operators' duty has joined. */
	DocumentVersions NONE = new DocumentVersions() {

		@Override
		public long current() {
			return 0;
		}

		@Override
		public void onPeerVersion(InstanceId peer, long version) {
			// Nobody wants to know.
		}

	};

	/**
	 * The version in force in this process.
	 * @return 0 if none is
	 */
	long current();

	/**
	 * A peer said which version it has in force.
	 * @param peer the peer
	 * @param version the version
	 */
	void onPeerVersion(InstanceId peer, long version);

}
