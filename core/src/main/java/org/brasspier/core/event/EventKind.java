package org.brasspier.core.event;

/**
 * All kinds of events. The number of a removed kind is never reused. Ranges of numbers:
 * 1xx process, 2xx ownership, 3xx requests, 4xx configuration, 5xx backend servers, 6xx
 * peers, 7xx platform.
 */
public enum EventKind {

	/** The daemon is listening on all its ports. */
	DAEMON_STARTED(100),

	/** The daemon starts to shut down. */
	DAEMON_STOPPING(101),

	/** The daemon has stopped with no requests in flight. */
	DAEMON_STOPPED(102),

	/** Events were lost because a ring buffer was full. */
	EVENTS_LOST(103),

	/** Settings were rejected. */
	SETTINGS_REFUSED(104),

	/** This member was granted a new lease. */
	LEASE_GRANTED(200),

	/** This member's lease expired. */
	LEASE_LAPSED(201),

	/** This instance became the owner of a range. */
	RANGE_GRANTED(202),

	/** This instance released a range. */
	RANGE_RELEASED(203),

	/** The lease managers of the cell have changed. */
	EPOCH_CHANGED(204),

	/** A lease manager has received nothing from a member for too long. */
	MEMBER_SUSPECTED(205),

	/** A member was declared lost; its ranges are reassigned. */
	MEMBER_LOST(206),

	/** A lease manager has received nothing from the other lease manager for too long. */
	MANAGER_SUSPECTED(207),

	/** A member that receives nothing from any lease manager tries to become one. */
	TAKEOVER_TRIED(208),

	/** A write of the row has an unknown outcome, which is being resolved. */
	WRITE_UNKNOWN(209),

	/**
	 * The cell's row is corrupt or of a newer format than this build can read; it is left
	 * unchanged.
	 */
	ROW_REFUSED(210),

	/** A request was refused before it reached a backend server. */
	REQUEST_REFUSED(300),

	/** A request was sent to a backend server. */
	REQUEST_HANDED_OVER(301),

	/** A request was answered. */
	REQUEST_ANSWERED(302),

	/** A request was forwarded to its owner. */
	REQUEST_FORWARDED(303),

	/** A caller sent something malformed. */
	BAD_CALLER_INPUT(304),

	/** A request may have run, but no response was received. */
	REQUEST_UNKNOWN(305),

	/** A caller disconnected before its request was answered. */
	REQUEST_CANCELLED(306),

	/** A posting was sent again and was not run a second time. */
	REQUEST_REPEATED(307),

	/** A request was in flight when its backend server was lost. */
	REQUEST_SUSPECT(308),

	/** A request is no longer sent to backend servers because it crashed some of them. */
	REQUEST_KEPT_AWAY(309),

	/** A connection did not respond in time, and the request was sent on a new one. */
	CONNECTION_REPLACED(310),

	/** A document was submitted and accepted through this daemon. */
	DOCUMENT_ACCEPTED(400),

	/**
	 * A submission was rejected because it has faults or because another one was accepted
	 * first.
	 */
	DOCUMENT_REFUSED(401),

	/** A version of the document took effect in this process. */
	DOCUMENT_IN_FORCE(402),

	/** The outcome of a submission is not known yet and is being resolved. */
	DOCUMENT_UNSETTLED(403),

	/**
	 * A stored document is corrupt or of a newer format than this build can read; it is
	 * left unchanged.
	 */
	DOCUMENT_UNREADABLE(404),

	/** An operator gave an order. */
	OPERATOR_ORDER(410),

	/** A client connected to the operator port without a valid secret. */
	OPERATOR_REFUSED(411),

	/** Secrets of operators, of peers or for the platform were reloaded. */
	SECRETS_READ(412),

	/** A file of secrets is invalid; the secrets read before stay in use. */
	SECRETS_REFUSED(413),

	/** The measures of an interval were saved in the platform's store. */
	MEASURES_KEPT(420),

	/** A backend server announced itself. */
	BACKEND_ANNOUNCED(500),

	/** A backend server has disappeared or no longer responds. */
	BACKEND_LOST(501),

	/** A backend server sent something malformed. */
	BAD_BACKEND_INPUT(502),

	/** A peer proved that it has the shared key. */
	PEER_CONNECTED(600),

	/** A peer failed to prove that it has the shared key, or sent something malformed. */
	PEER_REFUSED(601),

	/** A connection to a peer was lost or nothing was received on it for too long. */
	PEER_LOST(602),

	/** The platform's store responds again. */
	STORE_REACHED(700),

	/** The platform's store does not respond. */
	STORE_LOST(701);

	private final int number;

	EventKind(int number) {
		this.number = number;
	}

	/**
	 * Returns the number of this event in the catalogue.
	 * @return a number unique to this kind
	 */
	public int number() {
		return this.number;
	}

}
