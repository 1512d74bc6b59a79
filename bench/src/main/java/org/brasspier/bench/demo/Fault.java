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
	 * @param what what of it
	 */
	record Lost(int instance, Part what) implements Fault {

	}

	/**
	 * A process or a whole instance stands still until the fault ends.
	 *
	 * @param instance which instance
	 * @param what what of it
	 */
	record Paused(int instance, Part what) implements Fault {

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
	 * @param one an instance
	 * @param other another
	 * @param state how
	 */
	record Apart(int one, int other, LinkState state) implements Fault {

	}

	/**
	 * A failure domain is cut off from all others, and from the store or not.
	 *
	 * @param domain which failure domain
	 * @param fromStore whether from the store too
	 */
	record DomainCut(int domain, boolean fromStore) implements Fault {

	}

	/**
	 * A daemon does not reach the store.
	 *
	 * @param instance which instance
	 * @param state how
	 */
	record StoreCut(int instance, LinkState state) implements Fault {

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
	record StoreLoses(int writes) implements Fault {

	}

	/**
	 * Each connection between daemons that is open when the fault begins is silent for
	 * good.
	 *
	 * @param instance whose connections to others
	 */
	record Silenced(int instance) implements Fault {

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
