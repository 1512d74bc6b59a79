package org.brasspier.core.event;

/**
 * The closed list of events. Numbers are never used again: 1xx process, 2xx ownership,
 * 3xx requests, 4xx configuration, 5xx backend servers, 6xx peers, 7xx platform.
 */
public enum EventKind {

	/** The daemon listens on all its ports. */
	DAEMON_STARTED(100),

	/** The daemon begins to leave. */
	DAEMON_STOPPING(101),

	/** The daemon has ended with nothing in flight. */
	DAEMON_STOPPED(102),

	/** Events were lost because a ring was full. */
	EVENTS_LOST(103),

	/** Settings were refused. */
	SETTINGS_REFUSED(104),

	/** This member's lease was granted anew. */
	LEASE_GRANTED(200),

	/** This member's lease ran out. */
	LEASE_LAPSED(201),

	/** A range is owned by this instance from now on. */
	RANGE_GRANTED(202),

	/** A range was given up by this instance. */
	RANGE_RELEASED(203),

	/** The lease managers of the cell have changed. */
	EPOCH_CHANGED(204),

	/** A lease manager has heard nothing of a member for too long. */
	MEMBER_SUSPECTED(205),

	/** A member is lost: its ranges go to others. */
	MEMBER_LOST(206),

	/** A lease manager has heard nothing of the other one for too long. */
	MANAGER_SUSPECTED(207),

	/** A member that hears no lease manager tries to become one. */
	TAKEOVER_TRIED(208),

	/** A write of the row has an unknown outcome and is being settled. */
	WRITE_UNKNOWN(209),

	/** The cell's row is damaged or newer than this build; it's left alone. */
	ROW_REFUSED(210),

	/** A request was refused before it reached a backend server. */
	REQUEST_REFUSED(300),

	/** A request was handed to a backend server. */
	REQUEST_HANDED_OVER(301),

	/** A request was answered. */
	REQUEST_ANSWERED(302),

	/** A request was forwarded to its owner. */
	REQUEST_FORWARDED(303),

	/** A caller sent something malformed. */
	BAD_CALLER_INPUT(304),

	/** A request may have run, but no answer of it came. */
	REQUEST_UNKNOWN(305),

	/** A caller went away before its request was answered. */
	REQUEST_CANCELLED(306),

	/** A posting was sent again and not run again. */
	REQUEST_REPEATED(307),

	/** A request was in flight when its backend server was lost. */
	REQUEST_SUSPECT(308),

	/** A request is kept away from backend servers, since it crashed some. */
	REQUEST_KEPT_AWAY(309),

	/** A connection gave no answer in time, and the request was sent on a new one. */
	CONNECTION_REPLACED(310),

	/** A document was submitted and accepted through this daemon. */
	DOCUMENT_ACCEPTED(400),

	/** A submission was refused: faults, or another one was first. */
	DOCUMENT_REFUSED(401),

	/** A version of the document is in force in this process from now on. */
	DOCUMENT_IN_FORCE(402),

	/** The outcome of a submission is not known yet; it's being settled. */
	DOCUMENT_UNSETTLED(403),

	/** A stored document is damaged or newer than this build; it's left as it is. */
	DOCUMENT_UNREADABLE(404),

	/** An operator gave an order. */
	OPERATOR_ORDER(410),

	/** Somebody came to the operator port without a valid secret. */
	OPERATOR_REFUSED(411),

	/** Secrets of operators, of peers or for the platform were read anew. */
	SECRETS_READ(412),

	/** A file of secrets is not fit for use; what was read before stays in use. */
	SECRETS_REFUSED(413),

	/** The measures of a while were kept in the platform's store. */
	MEASURES_KEPT(420),

	/** A backend server announced itself. */
	BACKEND_ANNOUNCED(500),

	/** A backend server is gone or no longer answers. */
	BACKEND_LOST(501),

	/** A backend server sent something malformed. */
	BAD_BACKEND_INPUT(502),

	/** A peer proved the shared key. */
	PEER_CONNECTED(600),

	/** A peer failed to prove the shared key or sent something malformed. */
	PEER_REFUSED(601),

	/** A connection to a peer broke or went silent. */
	PEER_LOST(602),

	/** The platform's store answers again. */
	STORE_REACHED(700),

	/** The platform's store does not answer. */
	STORE_LOST(701);

	private final int number;

	EventKind(int number) {
		this.number = number;
	}

	/**
	 * The number under which the catalogue lists this event.
	 * @return a number unique to this kind
	 */
	public int number() {
		return this.number;
	}

}
