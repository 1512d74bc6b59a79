package org.brasspier.wire.operator;

import java.util.List;

/**
 * The state of a cell as one daemon knows it. Immutable and thread-safe.
 *
 * @param cell the cell
 * @param version the version of the cell's row
 * @param epoch the epoch of its lease managers
 * @param primary the primary lease manager, empty if there is none
 * @param secondary the secondary lease manager, empty if there is none
 * @param members the members
 * @param ranges the ranges of all services
 * @param moves the planned moves under way, known to the primary only
 */
public record CellAnswer(String cell, long version, long epoch, String primary, String secondary,
		List<CellAnswer.Member> members, List<CellAnswer.Range> ranges, List<CellAnswer.Move> moves) {

	/**
	 * Checks the fields and copies collections.
	 */
	public CellAnswer {
		members = List.copyOf(OperatorJson.present(members, "members"));
		ranges = List.copyOf(OperatorJson.present(ranges, "ranges"));
		moves = List.copyOf(OperatorJson.present(moves, "moves"));
	}

	/**
	 * An instance of the cell.
	 *
	 * @param instance its identity
	 * @param failureDomain its failure domain
	 * @param service the service of its backend server, empty if it has none
	 * @param phase its phase, which determines whether it may own ranges
	 * @param slots the number of requests that its backend server runs concurrently
	 * @param checksFences whether its backend server rejects outdated fences
	 * @param callers IP:PORT of its port for callers
	 * @param operators IP:PORT of its port for operators
	 * @param heardMillisAgo the time since the answering daemon last received a message
	 * from it, in milliseconds; -1 unless that daemon is a lease manager
	 */
	public record Member(String instance, String failureDomain, String service, String phase, int slots,
			boolean checksFences, String callers, String operators, long heardMillisAgo) {

	}

	/**
	 * A range of keys.
	 *
	 * @param service the service
	 * @param range its points, {@code LOW-HIGH} in hexadecimal, both inclusive
	 * @param owner its owner, empty if it has none
	 * @param fence the fence of the last change of its owner
	 */
	public record Range(String service, String range, String owner, long fence) {

	}

	/**
	 * A planned move.
	 *
	 * @param service the service
	 * @param range the range
	 * @param to the new owner
	 * @param released whether its owner has released it
	 */
	public record Move(String service, String range, String to, boolean released) {

	}

}
