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
 * Shifts keys from holders that are asked for much of what they can do to others. The
 * load is skewed demand: a few keys, close together, have half of all requests, which
 * keys those are changes, and servers differ in speed by a factor of three. Without it
 * the busiest server gets more than twice the mean and refuses while others rest.
 * Stateless and thread-safe.
 */
public final class KeyRebalancer {

	/**
	 * Below this share of what it can do a server has free slots for nearly every
	 * request, and a move would only cost.
	 */
	private static final double BUSY = 0.4;

	/**
	 * How far above the mean share a holder must be before anything moves: twice what
	 * chance alone makes of a four seconds' count.
	 */
	private static final double TRIGGER = 0.12;

	/** Moving a piece must leave its receiver this much below what the giver had. */
	private static final double GAIN = 0.93;

	/**
	 * A server that is asked for so much of what it can do takes no more: the giver's
	 * requests would be refused there instead, after a gap. Two full servers handed busy
	 * keys to and fro each two to three seconds, and each time those were unserved for
	 * 0.3 to 1.3 seconds.
	 */
	private static final double FULL = 0.95;

	/**
	 * Moves of one round. Each leaves its keys unserved for about half a second, so a
	 * round stays small against what it mends.
	 */
	private static final int MOST_MOVES = 32;

	/** The rows that fit an answer to a heartbeat, with room to spare. */
	private static final int MOST_SPANS = 72;

	private KeyRebalancer() {
	}

	/**
	 * Plans one round.
	 * @param map who holds what
	 * @param loads what is asked of each holder that can hold keys now
	 * @return the map with the next holders of what moves; empty if nothing does
	 */
	public static Optional<KeyMap> plan(KeyMap map, List<HolderLoad> loads) {
		if (loads.size() < 2) {
			return Optional.empty();
		}
		Round round = new Round(map, loads);
		Map<KeySpan, InstanceId> moves = new HashMap<>();
		// A piece that is cut out of a span leaves two in its place.
		int room = Math.min(MOST_MOVES, (KeyMap.MAX_SPANS - map.holdings().size()) / 2);
		while (moves.size() < room) {
			Optional<Move> move = round.next();
			if (move.isEmpty()) {
				break;
			}
			moves.put(move.get().piece.span(), move.get().to);
			round.carryOut(move.get());
		}
		return moves.isEmpty() ? Optional.empty() : Optional.of(map.withPlannedMoves(moves));
	}

	/**
	 * Loads as they would be after the moves so far.
	 */
	private static final class Round {

		private final List<HolderState> seats;

		private final double mean;

		Round(KeyMap map, List<HolderLoad> loads) {
			this.seats = loads.stream()
				.map((load) -> new HolderState(load, map.heldBy(load.instance()).size()))
				.toList();
			double rate = loads.stream().mapToDouble(HolderLoad::rate).sum();
			this.mean = rate / loads.stream().mapToDouble(HolderLoad::capacity).sum();
		}

		// From the busiest holder that has a piece to give: another one may be just as
		// much in need, while the busiest has nothing that fits.
		Optional<Move> next() {
			return this.seats.stream()
				.filter((seat) -> seat.share() >= BUSY
						&& seat.share() >= this.mean + TRIGGER * Math.max(this.mean, BUSY))
				.sorted(Comparator.comparingDouble(HolderState::share).reversed())
				.map(this::from)
				.flatMap(Optional::stream)
				.findFirst();
		}

		private Optional<Move> from(HolderState giver) {
			return this.seats.stream()
				.filter((seat) -> seat != giver && seat.spans < MOST_SPANS && seat.share() < FULL)
				.sorted(Comparator.comparingDouble(HolderState::share))
				.map((taker) -> piece(giver, taker).map((piece) -> new Move(giver, taker, piece)))
				.flatMap(Optional::stream)
				.findFirst();
		}

		// The largest piece that fits what the one has too much and the other has room
		// for; if none is that small, the smallest, provided it helps at all.
		private Optional<KeyLoad> piece(HolderState giver, HolderState taker) {
			double wanted = Math.min(giver.rate - this.mean * giver.load.capacity(),
					this.mean * taker.load.capacity() - taker.rate);
			List<KeyLoad> movable = giver.movable();
			Optional<KeyLoad> fitting = movable.stream()
				.filter((piece) -> piece.rate() > 0 && piece.rate() <= wanted)
				.max(Comparator.comparingDouble(KeyLoad::rate));
			return fitting
				.or(() -> movable.stream()
					.filter((piece) -> piece.rate() > Math.max(0, wanted))
					.min(Comparator.comparingDouble(KeyLoad::rate)))
				.filter((piece) -> (taker.rate + piece.rate()) / taker.load.capacity() < giver.share() * GAIN);
		}

		void carryOut(Move move) {
			move.from.gone.add(move.piece.span());
			move.from.rate -= move.piece.rate();
			move.taker.rate += move.piece.rate();
			move.taker.spans++;
		}

	}

	private static final class HolderState {

		private final HolderLoad load;

		private final Set<KeySpan> gone = new HashSet<>();

		private double rate;

		private int spans;

		HolderState(HolderLoad load, int spans) {
			this.load = load;
			this.rate = load.rate();
			this.spans = spans;
		}

		double share() {
			return this.rate / this.load.capacity();
		}

		List<KeyLoad> movable() {
			List<KeyLoad> left = new ArrayList<>(this.load.pieces());
			left.removeIf((piece) -> this.gone.contains(piece.span()));
			return left;
		}

	}

	private static final class Move {

		private final HolderState from;

		private final HolderState taker;

		private final InstanceId to;

		private final KeyLoad piece;

		Move(HolderState from, HolderState taker, KeyLoad piece) {
			this.from = from;
			this.taker = taker;
			this.to = taker.load.instance();
			this.piece = piece;
		}

	}

}
