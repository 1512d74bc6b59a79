package org.brasspier.daemon.internal.mesh;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.keys.PromiseMark;
import org.brasspier.core.load.GateReport;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * A message from one daemon to another. Immutable and thread-safe.
 */
sealed interface HopMessage {

	/**
	 * Asks the receiver to run a request on its local backend server.
	 *
	 * @param exchange number of the exchange, repeated in the answer
	 * @param sentNanos when it was written, nanoseconds since the sender opened the
	 * connection
	 * @param request the request
	 */
	record ForwardedRequest(long exchange, long sentNanos, HopRequest request) implements HopMessage {
	}

	/**
	 * The outcome of a forwarded request.
	 *
	 * @param exchange number of the exchange
	 * @param outcome the outcome
	 * @param report what the gate reports; empty if it knows nothing or runs an earlier
	 * build
	 */
	record ForwardedResponse(long exchange, SendOutcome outcome, Optional<GateReport> report) implements HopMessage {

		ForwardedResponse(long exchange, SendOutcome outcome) {
			this(exchange, outcome, Optional.empty());
		}

	}

	/**
	 * Cancels a forwarded request, because its caller no longer waits for it.
	 *
	 * @param exchange number of the exchange
	 */
	record Cancel(long exchange) implements HopMessage {
	}

	/**
	 * The load of the sender's backend server, sent to the daemon that plans the
	 * assignment of keys.
	 *
	 * @param load the load
	 */
	record LoadReport(HolderLoad load) implements HopMessage {
	}

	/**
	 * Asks the receiver, as the deputy of a holder of keys, to promise not to take over
	 * the holder's keys for a while.
	 *
	 * @param exchange number of the exchange, repeated in the answer
	 * @param holder the holder
	 * @param rowVersion version of the holder's lease row that the holder knows
	 * @param mark identifies the promise; empty if the holder is of an earlier build
	 */
	record PromiseRequest(long exchange, InstanceId holder, long rowVersion,
			Optional<PromiseMark> mark) implements HopMessage {
	}

	/**
	 * The answer to a promise request.
	 *
	 * @param exchange number of the exchange
	 * @param process id of the answering process of the instance
	 * @param promised whether it promises not to take over the keys
	 * @param canTakeOver whether it could take over the keys once its promise has ended
	 */
	record PromiseResponse(long exchange, long process, boolean promised, boolean canTakeOver) implements HopMessage {
	}

	/**
	 * Releases the receiver from its promise: the holder grants no keys any more, so the
	 * receiver may take them over.
	 *
	 * @param holder the holder
	 * @param mark when it was sent; promises that were asked for later stay in force.
	 * Empty if the holder is of an earlier build
	 */
	record PromiseRelease(InstanceId holder, Optional<PromiseMark> mark) implements HopMessage {
	}

	/**
	 * The newest versions of the store's rows that the sender knows.
	 *
	 * @param versions the newest known versions
	 */
	record VersionsNotice(KnownRows versions) implements HopMessage {
	}

	/**
	 * Requests the rows that are newer than those the sender knows.
	 *
	 * @param versions the newest versions that the sender knows
	 */
	record RowsRequest(KnownRows versions) implements HopMessage {
	}

	/**
	 * Rows of the store that the receiver may not have yet. Sent in response to a
	 * request, and by the daemon that has just written a row.
	 *
	 * @param config the row of the configuration and those of evacuated failure domains,
	 * as far as they are newer
	 * @param mesh rows of instances and of key maps
	 */
	record RowsResponse(List<MetadataStore.Row> config, List<MetadataStore.Row> mesh) implements HopMessage {

		/**
		 * Returns whether there are no rows.
		 * @return true if there are no rows
		 */
		boolean isEmpty() {
			return this.config.isEmpty() && this.mesh.isEmpty();
		}

	}

	/**
	 * Subscribes the sender to the changes that the receiver reads from the store.
	 *
	 * @param known versions up to which the sender knows all changes
	 * @param readsStore whether the sender follows the store itself, too
	 */
	record FollowRequest(KnownRows known, boolean readsStore) implements HopMessage {
	}

	/**
	 * Changes that the sender has read from the store, for a daemon that follows it.
	 *
	 * @param after versions after which all changes are included
	 * @param upTo versions up to which all changes are included
	 * @param storeReachable whether the store currently answers the sender
	 * @param rows the rows that have changed
	 */
	record RowChanges(KnownRows after, KnownRows upTo, boolean storeReachable,
			RowsResponse rows) implements HopMessage {

		/**
		 * Returns a copy that only tells whether the store answers the sender.
		 * @return a message without changes
		 */
		RowChanges withoutRows() {
			return new RowChanges(this.after, this.after, this.storeReachable, new RowsResponse(List.of(), List.of()));
		}

	}

	/**
	 * Requests the lease rows as the receiver reads them from the store.
	 *
	 * @param exchange number of the exchange, repeated in the answer
	 * @param maxAgeMillis maximum age of the rows, milliseconds
	 */
	record LeasesRequest(long exchange, int maxAgeMillis) implements HopMessage {
	}

	/**
	 * The answer to a request for lease rows.
	 *
	 * @param exchange number of the exchange
	 * @param rows the lease rows; empty if the store did not answer
	 */
	record LeasesResponse(long exchange, Optional<List<MetadataStore.Row>> rows) implements HopMessage {
	}

	/**
	 * The crash state of an instance.
	 *
	 * @param from the instance
	 * @param state its crash state
	 */
	record CrashUpdate(InstanceId from, CrashState state) implements HopMessage {
	}

	/**
	 * Checks whether the receiver is alive; answered by a pong.
	 *
	 * @param acceptsPieces whether the sender accepts compressed messages and large
	 * messages in pieces; daemons of an earlier build do not
	 * @param acknowledgesPieces whether the sender acknowledges pieces and accepts
	 * acknowledgements; daemons of an earlier build do not
	 */
	record Ping(boolean acceptsPieces, boolean acknowledgesPieces) implements HopMessage {

		Ping(boolean acceptsPieces) {
			this(acceptsPieces, false);
		}

		Ping() {
			this(true, true);
		}

	}

	/**
	 * The answer to a ping.
	 *
	 * @param acceptsPieces whether the sender accepts compressed messages and large
	 * messages in pieces; daemons of an earlier build do not
	 * @param acknowledgesPieces whether the sender acknowledges pieces and accepts
	 * acknowledgements; daemons of an earlier build do not
	 */
	record Pong(boolean acceptsPieces, boolean acknowledgesPieces) implements HopMessage {

		Pong(boolean acceptsPieces) {
			this(acceptsPieces, false);
		}

		Pong() {
			this(true, true);
		}

	}

	/**
	 * Acknowledges pieces of large messages. Sent only to a daemon that accepts it.
	 *
	 * @param bytes number of bytes that pieces have carried since the last
	 * acknowledgement
	 */
	record PiecesReceived(long bytes) implements HopMessage {
	}

	/**
	 * The sender is about to stop. It still serves requests, but asks others to send new
	 * ones elsewhere.
	 */
	record Leaving() implements HopMessage {
	}

	/** The sender rejects new requests from now on and closes the connection soon. */
	record Stopping() implements HopMessage {
	}

}
