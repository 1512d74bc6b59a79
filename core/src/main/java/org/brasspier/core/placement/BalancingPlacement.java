package org.brasspier.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.placement.PlacementInput.HotPoint;
import org.brasspier.core.placement.PlacementInput.Phase;
import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Keeps load even over members and failure domains with few moves: spreads what has no
 * owner, gives a member that has come its share in one batch, and shifts load only where
 * the excess is worth the warm state and the unavailable time that a move costs.
 * Stateless and thread-safe; the same input gives the same steps.
 */
public final class BalancingPlacement implements PlacementPolicy {

	@Override
	public List<PlacementStep> plan(PlacementInput input) {
		Board board = new Board(input);
		if (board.seats().isEmpty()) {
			return List.of();
		}
		spreadUnowned(board);
		fillNewcomers(board, input);
		new LoadShift(board, input).plan();
		new RangeMerge(board, input).plan();
		return board.steps();
	}

	// Loss of a member, or its leaving. Harm: all its ranges on one survivor fill that
	// one's queue. Only what it owned moves, so churn is the lost share and no more.
	private static void spreadUnowned(Board board) {
		double largest = board.meanSeatLoad() * PlacementRules.PIECE_SHARE;
		while (cutLargestUnowned(board, largest)) {
			// Each cut halves a piece; the number of pieces is bounded.
		}
		board.pieces()
			.filter((piece) -> unownedCause(board, piece).isPresent())
			.sorted(Comparator.comparingDouble(board::weight).reversed())
			.forEach((piece) -> board.seats()
				.stream()
				.min(board.emptiestWith(board.weight(piece)))
				.ifPresent((seat) -> board.move(piece, seat, unownedCause(board, piece).orElse(MoveCause.LOSS))));
	}

	private static boolean cutLargestUnowned(Board board, double largest) {
		if (board.pieceCount() >= PlacementRules.MOST_PIECES * board.seats().size()) {
			return false;
		}
		Optional<Piece> tooLarge = board.pieces()
			.filter((piece) -> unownedCause(board, piece).isPresent())
			.filter((piece) -> !piece.single() && board.weight(piece) > largest)
			.max(Comparator.comparingDouble(board::weight));
		tooLarge.ifPresent((piece) -> cut(board, piece, largest));
		return tooLarge.isPresent();
	}

	static void cut(Board board, Piece piece, double hotFrom) {
		Optional<HotPoint> hot = piece.hottest().filter((point) -> point.busySlots() >= hotFrom);
		if (hot.isPresent()) {
			board.isolate(piece, hot.get());
		}
		else {
			board.split(piece, piece.range().low() + piece.range().size() / 2);
		}
	}

	private static Optional<MoveCause> unownedCause(Board board, Piece piece) {
		if (piece.owner().isEmpty()) {
			return Optional.of(MoveCause.LOSS);
		}
		return piece.owner().map(board::phase).filter(Phase.LEAVING::equals).map((phase) -> MoveCause.LEAVING);
	}

	// A member has come, or its warm share has grown. One batch fills it: many small
	// steps would move some ranges twice. It gets no more than its cold server can take,
	// and ranges of usual load: the hottest ones alone would fill its share of the load
	// and leave it a sliver of the space, which shows when other keys get hot.
	private static void fillNewcomers(Board board, PlacementInput input) {
		board.seats()
			.stream()
			.filter((seat) -> seat.member().phase() == Phase.COLD || seat.pieces() == 0)
			.forEach((seat) -> fill(board, input, seat));
	}

	private static void fill(Board board, PlacementInput input, Seat newcomer) {
		double share = board.meanUtilization() * newcomer.capacity();
		// A tenth short is near enough; less would move ranges for noise.
		if (newcomer.load() > 0.9 * share) {
			return;
		}
		for (int moves = 0; moves < PlacementRules.MOST_PIECES; moves++) {
			double missing = share - newcomer.load();
			Optional<Seat> donor = board.seats()
				.stream()
				.filter((seat) -> seat != newcomer && seat.utilization() > board.meanUtilization())
				.max(Comparator.comparingDouble(Seat::utilization));
			Optional<Piece> piece = donor.flatMap((seat) -> board.piecesOf(seat)
				.filter((each) -> !each.touched() && board.weight(each) <= missing)
				.min(Comparator.comparingDouble(board::oddity)));
			if (piece.isPresent()) {
				board.move(piece.get(), newcomer, MoveCause.JOIN);
			}
			else if (donor.isEmpty() || missing < 0.1 * share || !cutLargest(board, donor.get())) {
				return;
			}
		}
	}

	private static boolean cutLargest(Board board, Seat donor) {
		if (board.pieceCount() >= PlacementRules.MOST_PIECES * board.seats().size()) {
			return false;
		}
		Optional<Piece> largest = board.piecesOf(donor)
			.filter((piece) -> !piece.touched() && !piece.single())
			.max(Comparator.comparingDouble(board::weight));
		largest.ifPresent((piece) -> cut(board, piece, board.meanSeatLoad() * PlacementRules.PIECE_SHARE));
		return largest.isPresent();
	}

}
