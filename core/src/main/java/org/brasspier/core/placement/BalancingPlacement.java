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
		PlanBuilder board = new PlanBuilder(input);
		if (board.members().isEmpty()) {
			return List.of();
		}
		spreadUnowned(board);
		fillNewMembers(board, input);
		new LoadRebalancer(board, input).plan();
		new RangeMerger(board, input).plan();
		return board.steps();
	}

	// Loss of a member, or its leaving. Harm: all its ranges on one survivor fill that
	// one's queue. Only what it owned moves, so churn is the lost share and no more.
	private static void spreadUnowned(PlanBuilder board) {
		double largest = board.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE;
		while (splitLargestUnowned(board, largest)) {
			// Each cut halves a piece; the number of pieces is bounded.
		}
		board.ranges()
			.filter((piece) -> unownedCause(board, piece).isPresent())
			.sorted(Comparator.comparingDouble(board::weight).reversed())
			.forEach((piece) -> board.members()
				.stream()
				.min(board.leastUtilizedWith(board.weight(piece)))
				.ifPresent((seat) -> board.move(piece, seat, unownedCause(board, piece).orElse(MoveCause.LOSS))));
	}

	private static boolean splitLargestUnowned(PlanBuilder board, double largest) {
		if (board.rangeCount() >= PlacementRules.MAX_RANGES_PER_MEMBER * board.members().size()) {
			return false;
		}
		Optional<PlannedRange> tooLarge = board.ranges()
			.filter((piece) -> unownedCause(board, piece).isPresent())
			.filter((piece) -> !piece.single() && board.weight(piece) > largest)
			.max(Comparator.comparingDouble(board::weight));
		tooLarge.ifPresent((piece) -> split(board, piece, largest));
		return tooLarge.isPresent();
	}

	static void split(PlanBuilder board, PlannedRange piece, double hotFrom) {
		Optional<HotPoint> hot = piece.hottest().filter((point) -> point.busySlots() >= hotFrom);
		if (hot.isPresent()) {
			board.isolate(piece, hot.get());
		}
		else {
			board.split(piece, piece.range().low() + piece.range().size() / 2);
		}
	}

	private static Optional<MoveCause> unownedCause(PlanBuilder board, PlannedRange piece) {
		if (piece.owner().isEmpty()) {
			return Optional.of(MoveCause.LOSS);
		}
		return piece.owner().map(board::phase).filter(Phase.LEAVING::equals).map((phase) -> MoveCause.LEAVING);
	}

	// A member has come, or its warm share has grown. One batch fills it: many small
	// steps would move some ranges twice. It gets no more than its cold server can take,
	// and ranges of usual load: the hottest ones alone would fill its share of the load
	// and leave it a sliver of the space, which shows when other keys get hot.
	private static void fillNewMembers(PlanBuilder board, PlacementInput input) {
		board.members()
			.stream()
			.filter((seat) -> seat.member().phase() == Phase.COLD || seat.pieces() == 0)
			.forEach((seat) -> fill(board, input, seat));
	}

	private static void fill(PlanBuilder board, PlacementInput input, MemberLoad newcomer) {
		double share = board.meanUtilization() * newcomer.capacity();
		// A tenth short is near enough; less would move ranges for noise.
		if (newcomer.load() > 0.9 * share) {
			return;
		}
		for (int moves = 0; moves < PlacementRules.MAX_RANGES_PER_MEMBER; moves++) {
			double missing = share - newcomer.load();
			Optional<MemberLoad> donor = board.members()
				.stream()
				.filter((seat) -> seat != newcomer && seat.utilization() > board.meanUtilization())
				.max(Comparator.comparingDouble(MemberLoad::utilization));
			Optional<PlannedRange> piece = donor.flatMap((seat) -> board.rangesOf(seat)
				.filter((each) -> !each.touched() && board.weight(each) <= missing)
				.min(Comparator.comparingDouble(board::densityDeviation)));
			if (piece.isPresent()) {
				board.move(piece.get(), newcomer, MoveCause.JOIN);
			}
			else if (donor.isEmpty() || missing < 0.1 * share || !splitLargest(board, donor.get())) {
				return;
			}
		}
	}

	private static boolean splitLargest(PlanBuilder board, MemberLoad donor) {
		if (board.rangeCount() >= PlacementRules.MAX_RANGES_PER_MEMBER * board.members().size()) {
			return false;
		}
		Optional<PlannedRange> largest = board.rangesOf(donor)
			.filter((piece) -> !piece.touched() && !piece.single())
			.max(Comparator.comparingDouble(board::weight));
		largest.ifPresent((piece) -> split(board, piece, board.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE));
		return largest.isPresent();
	}

}
