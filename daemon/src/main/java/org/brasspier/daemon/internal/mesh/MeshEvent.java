package org.brasspier.daemon.internal.mesh;

/**
 * What a daemon of a mesh logs; docs/OPERATIONS.md lists the same numbers with their
 * fields, and a test holds the two equal.
 */
enum MeshEvent {

	/** The daemon takes work. */
	STARTED(1001),
	/** It was told to end. */
	STOPPING(1002),
	/** It has ended; nothing is in flight any more. */
	STOPPED(1003),
	/** Its settings were read again. */
	RELOADED(1004),
	/** Processor time of the process so far, by what its threads are for. */
	PROCESSOR_TIMES(1005),
	/** The platform's store answers again. */
	STORE_REGAINED(1101),
	/** The platform's store does not answer, or turns this instance away. */
	STORE_LOST(1102),
	/** A feed may have gone silent; the store is asked anew. */
	FEED_DOUBTED(1103),
	/** From now on the store is followed by this daemon, or through others. */
	STORE_FOLLOWED(1104),
	/** A configuration is in force. */
	CONFIG_IN_FORCE(1201),
	/** A configuration can't be read; what was in force stays. */
	CONFIG_UNREADABLE(1202),
	/** Another daemon told what this one had not heard from the store. */
	ROWS_TOLD(1203),
	/** Another instance is there, or is there otherwise than before. */
	MEMBER_CHANGED(1301),
	/** The backend server beside this daemon has begun a life, leaves, or is gone. */
	BACKEND_CHANGED(1401),
	/** A heartbeat or farewell was not believed. */
	BACKEND_MESSAGE_IGNORED(1402),
	/** The backend server beside this daemon crashed while it ran requests. */
	BACKEND_CRASHED(1403),
	/** Another instance told of crashes, or of requests that ended well after one. */
	CRASHES_TOLD(1404),
	/** Keys changed hands. */
	KEYS_MOVED(1501),
	/** This instance's lease was renewed after it had lapsed, or for the first time. */
	LEASE_HELD(1502),
	/** This instance's lease was taken away or has lapsed. */
	LEASE_LOST(1503),
	/** Another instance, or nobody, may take this one's keys early from now on. */
	LEASE_DEPUTY(1504),
	/** The backend server did not carry out a grant or a release. */
	GRANT_FAILED(1505),
	/** A request was answered by a backend server. */
	REQUEST_ANSWERED(2001),
	/** A request was refused and did not run. */
	REQUEST_REFUSED(2002),
	/** A request failed and may have run. */
	REQUEST_FAILED(2003),
	/** A request is sent once more. */
	REQUEST_RESENT(2004),
	/** A request is sent to the daemon beside a backend server. */
	REQUEST_SENT(2005),
	/** The gate to the backend server turned a request away. */
	GATE_TURNED_AWAY(2101),
	/** The backend server failed an order. */
	ORDER_FAILED(2102),
	/** A caller sent what is no request. */
	BAD_CALLER_INPUT(3001),
	/** Another daemon sent what makes no sense. */
	BAD_PEER_INPUT(3002),
	/** Lines were left out, since too many of one kind came. */
	LINES_DROPPED(3003);

	private final int number;

	MeshEvent(int number) {
		this.number = number;
	}

	int number() {
		return this.number;
	}

}
