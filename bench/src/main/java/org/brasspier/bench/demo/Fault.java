package org.brasspier.bench.demo;

import org.brasspier.standins.LinkState;

/**
 * One fault of a schedule. Instances and failure domains are told by their place in the
 * deployment. Immutable and thread-safe.
 */
public sealed interface Fault {

	/**
	 * A process or a whole instance is lost, and started again when the fault ends.
	 *
	 * @param instance which instance
	 * @param part what of it
	 */
	record Killed(int instance, Part part) implements Fault {

	}

	/**
	 * A process or a whole instance stands still until the fault ends.
	 *
	 * @param instance which instance
	 * @param part what of it
	 */
	record Paused(int instance, Part part) implements Fault {

	}

	/**
	 * An instance is stopped as planned, and started again when the fault ends.
	 *
	 * @param instance which instance
	 */
	record Stopped(int instance) implements Fault {

	}

	/**
	 * An instance is cut off from all other daemons.
	 *
	 * @param instance which instance
	 * @param state how
	 */
	record Isolated(int instance, LinkState state) implements Fault {

	}

	/**
	 * Two daemons don't reach each other.
	 *
	 * @param first an instance
	 * @param second another
	 * @param state how
	 */
	record Disconnected(int first, int second, LinkState state) implements Fault {

	}

	/**
	 * A failure domain is cut off from all others, and from the store or not.
	 *
	 * @param domain which failure domain
	 * @param fromStore whether from the store too
	 */
	record DomainIsolated(int domain, boolean fromStore) implements Fault {

	}

	/**
	 * A daemon does not reach the store.
	 *
	 * @param instance which instance
	 * @param state how
	 */
	record StoreUnreachable(int instance, LinkState state) implements Fault {

	}

	/**
	 * The store is down.
	 */
	record StoreDown() implements Fault {

	}

	/**
	 * The store is slow.
	 *
	 * @param millis how long each call takes, in milliseconds
	 */
	record StoreSlow(int millis) implements Fault {

	}

	/**
	 * Writes to the store take effect and lose their answers.
	 *
	 * @param writes how many
	 */
	record StoreAnswersLost(int writes) implements Fault {

	}

	/**
	 * Each connection between daemons that is open when the fault begins is silent for
	 * good.
	 *
	 * @param instance whose connections to others
	 */
	record ConnectionsSilenced(int instance) implements Fault {

	}

	/**
	 * What of an instance a fault takes.
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
