package org.brasspier.bench.demo;

import org.brasspier.standins.LinkState;

/**
 * A fault to inject into a deployment. Instances and failure domains are identified by
 * their index in the deployment. Immutable and thread-safe.
 */
public sealed interface Fault {

	/**
	 * Kills processes of an instance and restarts them when the fault ends.
	 *
	 * @param instance index of the instance
	 * @param part which of its processes are killed
	 */
	record Killed(int instance, Part part) implements Fault {

	}

	/**
	 * Pauses processes of an instance until the fault ends.
	 *
	 * @param instance index of the instance
	 * @param part which of its processes are paused
	 */
	record Paused(int instance, Part part) implements Fault {

	}

	/**
	 * Terminates the backend server of an instance in an orderly way. When the fault
	 * ends, all processes of the instance that are not running are started.
	 *
	 * @param instance index of the instance
	 */
	record Stopped(int instance) implements Fault {

	}

	/**
	 * Disturbs the links between the daemon of an instance and all other daemons.
	 *
	 * @param instance index of the instance
	 * @param state state of the links during the fault
	 */
	record Isolated(int instance, LinkState state) implements Fault {

	}

	/**
	 * Disturbs the links between two daemons.
	 *
	 * @param first index of one instance
	 * @param second index of the other instance
	 * @param state state of the links during the fault
	 */
	record Disconnected(int first, int second, LinkState state) implements Fault {

	}

	/**
	 * Isolates a failure domain from all other failure domains and optionally from the
	 * store.
	 *
	 * @param domain index of the failure domain
	 * @param fromStore whether the failure domain also loses the store
	 */
	record DomainIsolated(int domain, boolean fromStore) implements Fault {

	}

	/**
	 * Disturbs the link between a daemon and the store.
	 *
	 * @param instance index of the instance
	 * @param state state of the link during the fault
	 */
	record StoreUnreachable(int instance, LinkState state) implements Fault {

	}

	/**
	 * The store is unavailable.
	 */
	record StoreDown() implements Fault {

	}

	/**
	 * The store responds with a delay.
	 *
	 * @param millis delay of each response, in milliseconds
	 */
	record StoreSlow(int millis) implements Fault {

	}

	/**
	 * Writes to the store are applied, but their responses are lost.
	 *
	 * @param writes number of writes affected
	 */
	record StoreAnswersLost(int writes) implements Fault {

	}

	/**
	 * Silences all connections from one daemon to other daemons that are open when the
	 * fault starts. The end of the fault does not restore them.
	 *
	 * @param instance index of the instance that opened the connections
	 */
	record ConnectionsSilenced(int instance) implements Fault {

	}

	/**
	 * The processes of an instance that a fault affects.
	 */
	enum Part {

		/** The daemon and its backend server. */
		WHOLE,

		/** The daemon only. */
		DAEMON,

		/** The backend server only. */
		SERVER

	}

}
