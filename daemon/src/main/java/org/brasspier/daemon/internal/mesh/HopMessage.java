package org.brasspier.daemon.internal.mesh;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * What one daemon sends to another. Immutable and thread-safe.
 */
sealed interface HopMessage {

	/**
	 * The backend server beside the receiver is to run a request.
	 *
	 * @param exchange the number under which it is answered
	 * @param sentNanos when it was written, from the beginning of the connection at its
	 * sender
	 * @param request the request
	 */
	record ForwardedRequest(long exchange, long sentNanos, HopRequest request) implements HopMessage {
	}

	/**
	 * What came of it.
	 *
	 * @param exchange the number
	 * @param outcome the outcome
	 */
	record ForwardedResponse(long exchange, SendOutcome outcome) implements HopMessage {
	}

	/**
	 * Nobody waits for it any more.
	 *
	 * @param exchange the number
	 */
	record Cancel(long exchange) implements HopMessage {
	}

	/**
	 * What the sender's backend server is asked for; the receiver plans who holds what.
	 *
	 * @param load the load
	 */
	record LoadReport(HolderLoad load) implements HopMessage {
	}

	/**
	 * A holder of keys asks the receiver to leave them alone for a while.
	 *
	 * @param exchange the number under which it is answered
	 * @param holder the holder
	 * @param rowVersion the version of its lease's row, as it knows it
	 */
	record PromiseRequest(long exchange, InstanceId holder, long rowVersion) implements HopMessage {
	}

	/**
	 * The answer to that.
	 *
	 * @param exchange the number
	 * @param process which process of the instance answers
	 * @param promised whether it leaves them alone
	 * @param canTakeOver whether it could take them if its promise ended
	 */
	record PromiseResponse(long exchange, long process, boolean promised, boolean canTakeOver) implements HopMessage {
	}

	/**
	 * A holder grants nothing any more, so the receiver may take its keys.
	 *
	 * @param holder the holder
	 */
	record PromiseRelease(InstanceId holder) implements HopMessage {
	}

	/**
	 * How much the sender knows of the store's rows.
	 *
	 * @param versions the newest versions
	 */
	record VersionsNotice(KnownRows versions) implements HopMessage {
	}

	/**
	 * The sender wants what it doesn't know.
	 *
	 * @param versions what it knows
	 */
	record RowsRequest(KnownRows versions) implements HopMessage {
	}

	/**
	 * Rows of the store that the receiver may not know.
	 *
	 * @param config the configuration's row, or none
	 * @param mesh rows of instances and of maps of keys
	 */
	record RowsResponse(List<MetadataStore.Row> config, List<MetadataStore.Row> mesh) implements HopMessage {

		/**
		 * Whether there is nothing to tell.
		 * @return true if there are no rows
		 */
		boolean isEmpty() {
			return this.config.isEmpty() && this.mesh.isEmpty();
		}

	}

	/**
	 * The sender wants to be told what the store tells the receiver.
	 *
	 * @param known up to which versions it knows all changes
	 * @param readsStore whether it follows the store as well
	 */
	record FollowRequest(KnownRows known, boolean readsStore) implements HopMessage {
	}

	/**
	 * What the store has told the sender, for a daemon that follows it.
	 *
	 * @param after the versions from which on all changes are here
	 * @param upTo the versions up to which they are
	 * @param storeReachable whether the store answers the sender
	 * @param rows the rows that have changed
	 */
	record RowChanges(KnownRows after, KnownRows upTo, boolean storeReachable,
			RowsResponse rows) implements HopMessage {

		/**
		 * The same for a receiver that is to hear no more than whether the store answers.
		 * @return a message that says nothing of any change
		 */
		RowChanges withoutRows() {
			return new RowChanges(this.after, this.after, this.storeReachable, new RowsResponse(List.of(), List.of()));
		}

	}

	/**
	 * The sender wants to know what the store shows of the leases.
	 *
	 * @param exchange the number under which it is answered
	 * @param maxAgeMillis how old the answer may be, in milliseconds
	 */
	record LeasesRequest(long exchange, int maxAgeMillis) implements HopMessage {
	}

	/**
	 * The answer to that.
	 *
	 * @param exchange the number
	 * @param rows the leases' rows; empty if the store did not answer
	 */
	record LeasesResponse(long exchange, Optional<List<MetadataStore.Row>> rows) implements HopMessage {
	}

	/**
	 * What an instance knows of crashes of backend servers.
	 *
	 * @param from the instance
	 * @param notes what it knows
	 */
	record CrashUpdate(InstanceId from, CrashState notes) implements HopMessage {
	}

	/**
	 * Asks whether the receiver still hears.
	 *
	 * @param acceptsPieces whether the sender takes large messages in pieces and
	 * compressed ones; daemons of an earlier build don't
	 */
	record Ping(boolean acceptsPieces) implements HopMessage {

		Ping() {
			this(true);
		}

	}

	/**
	 * It does.
	 *
	 * @param acceptsPieces whether the sender takes large messages in pieces and
	 * compressed ones; daemons of an earlier build don't
	 */
	record Pong(boolean acceptsPieces) implements HopMessage {

		Pong() {
			this(true);
		}

	}

	/** The sender is about to stop; it answers what it has, and wants no more. */
	record Leaving() implements HopMessage {
	}

	/** The sender takes nothing new from now on, and closes the connection soon. */
	record Stopping() implements HopMessage {
	}

}
