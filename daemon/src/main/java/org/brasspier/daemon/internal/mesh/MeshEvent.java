package org.brasspier.daemon.internal.mesh;

/**
 * Events that a daemon of the mesh logs. docs/OPERATIONS.md lists the same numbers with
 * their fields; MeshEventCatalogTests checks that both agree.
 */
enum MeshEvent {

	/** The daemon has started and accepts requests. */
	STARTED(1001),
	/** A graceful stop has begun. */
	STOPPING(1002),
	/** The daemon has stopped; no request is in flight, or the stop timeout is over. */
	STOPPED(1003),
	/** The settings were reloaded. */
	RELOADED(1004),
	/** Processor time of the process since its start, by the purpose of its threads. */
	PROCESSOR_TIMES(1005),
	/** The platform's store answers again. */
	STORE_REGAINED(1101),
	/** The platform's store does not answer, or refuses this instance's calls. */
	STORE_LOST(1102),
	/** A feed may have stopped delivering changes; the store is queried again. */
	FEED_DOUBTED(1103),
	/** This daemon has started to follow the store itself, or through other daemons. */
	STORE_FOLLOWED(1104),
	/** A configuration has taken effect. */
	CONFIG_IN_FORCE(1201),
	/** A configuration can't be read; the previous one remains in force. */
	CONFIG_UNREADABLE(1202),
	/** Another daemon sent newer rows than this one had received from the store. */
	ROWS_TOLD(1203),
	/** The set of evacuated failure domains has changed. */
	EVACUATION_CHANGED(1204),
	/** A row of the store was left out, since its key can't be read. */
	ROW_IGNORED(1205),
	/** An instance was added, or its row has changed. */
	MEMBER_CHANGED(1301),
	/**
	 * The local backend server has started, changed its slots, is draining, or is gone.
	 */
	BACKEND_CHANGED(1401),
	/** A heartbeat or departure message was ignored. */
	BACKEND_MESSAGE_IGNORED(1402),
	/** The local backend server crashed while it was running requests. */
	BACKEND_CRASHED(1403),
	/**
	 * Another instance reported crashes, or suspect requests that have succeeded since.
	 */
	CRASHES_TOLD(1404),
	/**
	 * A connection to the local backend server was opened while no other one was open.
	 */
	BACKEND_CONNECTED(1405),
	/** A request that was part of a crash is no longer suspect. */
	SUSPECT_CLEARED(1406),
	/** A request was refused because it may crash backend servers. */
	SUSPECT_REFUSED(1407),
	/** The limit that the local backend server names in its answers has changed. */
	BACKEND_LIMIT(1408),
	/** The local backend server says in an answer that it is leaving. */
	BACKEND_LEAVING(1409),
	/** The assignment of keys to instances has changed, or a change failed. */
	KEYS_MOVED(1501),
	/**
	 * This instance holds its lease again after it had expired, or for the first time.
	 */
	LEASE_HELD(1502),
	/** This instance's lease was taken over or has expired. */
	LEASE_LOST(1503),
	/**
	 * This instance's deputy, which may take over its keys early, was changed or removed.
	 */
	LEASE_DEPUTY(1504),
	/** A grant to the backend server, or a release, failed. */
	GRANT_FAILED(1505),
	/** A request was answered by a backend server. */
	REQUEST_ANSWERED(2001),
	/** A request was refused and did not run. */
	REQUEST_REFUSED(2002),
	/** A request failed and may have run. */
	REQUEST_FAILED(2003),
	/** A request is retried. */
	REQUEST_RESENT(2004),
	/** A request is sent to the daemon of a backend server's instance. */
	REQUEST_SENT(2005),
	/** The reported load of a service's backend servers starts or ceases to be used. */
	LOAD_REPORTS_USED(2006),
	/** The caller of a request left before it was answered, and the request has ended. */
	CALLER_LEFT(2007),
	/** Admission control for the local backend server rejected a request. */
	GATE_TURNED_AWAY(2101),
	/** A request to the local backend server failed. */
	ORDER_FAILED(2102),
	/** The routes that are known to carry calls to the local backend server changed. */
	CALL_ROUTES_CHANGED(2103),
	/** A request has ended at the gate whose caller had left. */
	REQUEST_CANCELLED(2104),
	/**
	 * The local backend server answered a request again, while a later one was in
	 * progress on its connection.
	 */
	ANSWER_SKIPPED(2105),
	/**
	 * A connection to the local backend server was closed, since bytes came that no
	 * request awaited.
	 */
	BYTES_BEHIND_ANSWER(2106),
	/**
	 * A request for the local backend server has an id that an open connection has
	 * carried before, and goes on another one.
	 */
	REQUEST_ID_REPEATED(2107),
	/** The local backend server answered a request with an error of its own. */
	BACKEND_ERROR(2108),
	/** The local backend server gave an interim answer; its final one may follow. */
	INTERIM_ANSWER(2109),
	/** A request was answered by an answer that was not the first one to come for it. */
	LATER_ANSWER_TAKEN(2110),
	/**
	 * The local backend server sent something that is no answer to the request in
	 * progress, whose outcome is unknown.
	 */
	ANSWER_REFUSED(2111),
	/** A caller sent a malformed request. */
	BAD_CALLER_INPUT(3001),
	/** Another daemon sent an invalid message. */
	BAD_PEER_INPUT(3002),
	/** Log lines were dropped because the rate limit of an event was exceeded. */
	LINES_DROPPED(3003);

	private final int number;

	MeshEvent(int number) {
		this.number = number;
	}

	int number() {
		return this.number;
	}

}
