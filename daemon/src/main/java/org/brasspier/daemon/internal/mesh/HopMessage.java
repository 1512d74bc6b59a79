package org.brasspier.daemon.internal.mesh;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.crash.CrashNotes;
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
	 * @param ask the request
	 */
	record Asked(long exchange, long sentNanos, HopRequest ask) implements HopMessage {
	}

	/**
	 * What came of it.
	 *
	 * @param exchange the number
	 * @param outcome the outcome
	 */
	record Replied(long exchange, SendOutcome outcome) implements HopMessage {
	}

	/**
	 * Nobody waits for it any more.
	 *
	 * @param exchange the number
	 */
	record Cancelled(long exchange) implements HopMessage {
	}

	/**
	 * What the sender's backend server is asked for; the receiver plans who holds what.
	 *
	 * @param load the load
	 */
	record Load(HolderLoad load) implements HopMessage {
	}

	/**
	 * A holder of keys asks the receiver to leave them alone for a while.
	 *
	 * @param exchange the number under which it is answered
	 * @param holder the holder
	 * @param rowVersion the version of its lease's row, as it knows it
	 */
	record PromiseAsked(long exchange, InstanceId holder, long rowVersion) implements HopMessage {
	}

	/**
	 * The answer to that.
	 *
	 * @param exchange the number
	 * @param process which process of the instance answers
	 * @param promised whether it leaves them alone
	 * @param able whether it could take them if its promise ended
	 */
	record Promised(long exchange, long process, boolean promised, boolean able) implements HopMessage {
	}

	/**
	 * A holder grants nothing any more, so the receiver may take its keys.
	 *
	 * @param holder the holder
	 */
	record PromiseReleased(InstanceId holder) implements HopMessage {
	}

	/**
	 * How much the sender knows of the store's rows.
	 *
	 * @param rows the newest versions
	 */
	record Known(KnownRows rows) implements HopMessage {
	}

	/**
	 * The sender wants what it doesn't know.
	 *
	 * @param rows what it knows
	 */
	record RowsAsked(KnownRows rows) implements HopMessage {
	}

	/**
	 * Rows of the store that the receiver may not know.
	 *
	 * @param config the configuration's row, or none
	 * @param mesh rows of instances and of maps of keys
	 */
	record RowsTold(List<MetadataStore.Row> config, List<MetadataStore.Row> mesh) implements HopMessage {

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
	 * @param reads whether it follows the store as well
	 */
	record RowsFollowed(KnownRows known, boolean reads) implements HopMessage {
	}

	/**
	 * What the store has told the sender, for a daemon that follows it.
	 *
	 * @param after the versions from which on all changes are here
	 * @param upTo the versions up to which they are
	 * @param current whether the store answers the sender
	 * @param rows the rows that have changed
	 */
	record RowsPassed(KnownRows after, KnownRows upTo, boolean current, RowsTold rows) implements HopMessage {

		/**
		 * The same for a receiver that is to hear no more than whether the store answers.
		 * @return a message that says nothing of any change
		 */
		RowsPassed withoutRows() {
			return new RowsPassed(this.after, this.after, this.current, new RowsTold(List.of(), List.of()));
		}

	}

	/**
	 * The sender wants to know what the store shows of the leases.
	 *
	 * @param exchange the number under which it is answered
	 * @param oldestMillis how old the answer may be, in milliseconds
	 */
	record LeasesAsked(long exchange, int oldestMillis) implements HopMessage {
	}

	/**
	 * The answer to that.
	 *
	 * @param exchange the number
	 * @param rows the leases' rows; empty if the store did not answer
	 */
	record LeasesTold(long exchange, Optional<List<MetadataStore.Row>> rows) implements HopMessage {
	}

	/**
	 * What an instance knows of crashes of backend servers.
	 *
	 * @param from the instance
	 * @param notes what it knows
	 */
	record CrashesTold(InstanceId from, CrashNotes notes) implements HopMessage {
	}

	/**
	 * Asks whether the receiver still hears.
	 *
	 * @param takesPieces whether the sender takes large messages in pieces and compressed
	 * ones; daemons of an earlier build don't
	 */
	record Ping(boolean takesPieces) implements HopMessage {

		Ping() {
			this(true);
		}

	}

	/**
	 * It does.
	 *
	 * @param takesPieces whether the sender takes large messages in pieces and compressed
	 * ones; daemons of an earlier build don't
	 */
	record Pong(boolean takesPieces) implements HopMessage {

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
