package org.brasspier.core.keys;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.InstanceId;

/**
 * Moves keys from holders with high utilization to others. The expected load is skewed: a
 * few adjacent keys have half of all requests, the set of busy keys changes, and servers
 * differ in speed by a factor of three. Without rebalancing, the busiest server gets more
 * than twice the mean load and rejects requests while others are idle. Stateless and
 * thread-safe.
 */
public final class KeyRebalancer {

	/**
	 * Utilization below which a holder gives nothing away: the server has a free slot for
	 * nearly every request, and a move would only cost.
	 */
	private static final double MIN_UTILIZATION = 0.4;

	/**
	 * How far a holder's utilization must exceed the mean before it gives keys away:
	 * twice the random variation of a count over four seconds.
	 */
	private static final double TRIGGER_MARGIN = 0.12;

	/**
	 * A move must leave the receiver's utilization below this fraction of the giver's
	 * utilization before the move.
	 */
	private static final double MAX_RECEIVER_FRACTION = 0.93;

	/**
	 * Utilization at which a server receives no more keys: it would reject the giver's
	 * requests as well, after a gap in service. Without this limit, two full servers
	 * moved busy keys back and forth every two to three seconds, and each move left the
	 * keys unserved for 0.3 to 1.3 seconds.
	 */
	private static final double FULL_UTILIZATION = 0.95;

	/**
	 * The most moves in one round. Each leaves its keys unserved for about half a second,
	 * so the cost of a round stays small compared with its benefit.
	 */
	private static final int MAX_MOVES = 32;

	/**
	 * The most spans of one holder, below the number of rows that fit into an answer to a
	 * heartbeat.
	 */
	private static final int MAX_SPANS_PER_HOLDER = 72;

	private KeyRebalancer() {
	}

	/**
	 * Plans one round of moves.
	 * @param map the current key map
	 * @param loads the load of each holder that can hold keys now
	 * @return the map with the planned moves; empty if there are none
	 */
	public static Optional<KeyMap> plan(KeyMap map, List<HolderLoad> loads) {
		if (loads.size() < 2) {
			return Optional.empty();
		}
		Plan plan = new Plan(map, loads);
		Map<KeySpan, InstanceId> moves = new HashMap<>();
		// Splitting a piece off a holding adds up to two holdings.
		int limit = Math.min(MAX_MOVES, (KeyMap.MAX_SPANS - map.holdings().size()) / 2);
		while (moves.size() < limit) {
			Optional<Move> move = plan.next();
			if (move.isEmpty()) {
				break;
			}
			moves.put(move.get().piece.span(), move.get().to);
			plan.apply(move.get());
		}
		return moves.isEmpty() ? Optional.empty() : Optional.of(map.withPlannedMoves(moves));
	}

	/**
	 * Holder loads, projected after the moves planned so far.
	 */
	private static final class Plan {

		private final List<HolderState> holders;

		private final double meanUtilization;

		Plan(KeyMap map, List<HolderLoad> loads) {
			this.holders = loads.stream()
				.map((load) -> new HolderState(load, map.heldBy(load.instance()).size()))
				.toList();
			double rate = loads.stream().mapToDouble(HolderLoad::rate).sum();
			this.meanUtilization = rate / loads.stream().mapToDouble(HolderLoad::capacity).sum();
		}

		// Tries the busiest holder first, but moves on to others: a less busy holder may
		// also need relief while the busiest has no piece that fits.
		Optional<Move> next() {
			return this.holders.stream()
				.filter((holder) -> holder.utilization() >= MIN_UTILIZATION
						&& holder.utilization() >= this.meanUtilization
								+ TRIGGER_MARGIN * Math.max(this.meanUtilization, MIN_UTILIZATION))
				.sorted(Comparator.comparingDouble(HolderState::utilization).reversed())
				.map(this::from)
				.flatMap(Optional::stream)
				.findFirst();
		}

		private Optional<Move> from(HolderState source) {
			return this.holders.stream()
				.filter((holder) -> holder != source && holder.spans < MAX_SPANS_PER_HOLDER
						&& holder.utilization() < FULL_UTILIZATION)
				.sorted(Comparator.comparingDouble(HolderState::utilization))
				.map((target) -> piece(source, target).map((piece) -> new Move(source, target, piece)))
				.flatMap(Optional::stream)
				.findFirst();
		}

		// Picks the largest piece that exceeds neither the source's surplus nor the
		// target's spare capacity. If no piece is that small, picks the smallest one,
		// provided that moving it helps at all.
		private Optional<KeyLoad> piece(HolderState source, HolderState target) {
			double wanted = Math.min(source.rate - this.meanUtilization * source.load.capacity(),
					this.meanUtilization * target.load.capacity() - target.rate);
			List<KeyLoad> movable = source.movable();
			Optional<KeyLoad> fitting = movable.stream()
				.filter((piece) -> piece.rate() > 0 && piece.rate() <= wanted)
				.max(Comparator.comparingDouble(KeyLoad::rate));
			return fitting
				.or(() -> movable.stream()
					.filter((piece) -> piece.rate() > Math.max(0, wanted))
					.min(Comparator.comparingDouble(KeyLoad::rate)))
				.filter((piece) -> (target.rate + piece.rate()) / target.load.capacity() < source.utilization()
						* MAX_RECEIVER_FRACTION);
		}

		void apply(Move move) {
			move.from.movedSpans.add(move.piece.span());
			move.from.rate -= move.piece.rate();
			move.target.rate += move.piece.rate();
			move.target.spans++;
		}

	}

	private static final class HolderState {

		private final HolderLoad load;

		private final Set<KeySpan> movedSpans = new HashSet<>();

		private double rate;

		private int spans;

		HolderState(HolderLoad load, int spans) {
			this.load = load;
			this.rate = load.rate();
			this.spans = spans;
		}

		double utilization() {
			return this.rate / this.load.capacity();
		}

		List<KeyLoad> movable() {
			List<KeyLoad> left = new ArrayList<>(this.load.pieces());
			left.removeIf((piece) -> this.movedSpans.contains(piece.span()));
			return left;
		}

	}

	private static final class Move {

		private final HolderState from;

		private final HolderState target;

		private final InstanceId to;

		private final KeyLoad piece;

		Move(HolderState from, HolderState target, KeyLoad piece) {
			this.from = from;
			this.target = target;
			this.to = target.load.instance();
			this.piece = piece;
		}

	}

}
