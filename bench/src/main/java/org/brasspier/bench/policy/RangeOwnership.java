package org.brasspier.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.placement.BalancingPlacement;
import org.brasspier.core.placement.LoadMeter;
import org.brasspier.core.placement.PlacementInput;
import org.brasspier.core.placement.PlacementInput.Member;
import org.brasspier.core.placement.PlacementInput.Phase;
import org.brasspier.core.placement.PlacementStep;

/**
 * Which server owns which range in a simulation. Ranges move as the placement policy
 * decides. Not thread-safe.
 */
final class RangeOwnership {

	/**
	 * Duration of a planned move: the old owner drains, the row is written, the new owner
	 * gets its grant.
	 */
	static final long MOVE_NANOS = 100 * VirtualTime.MILLI;

	/**
	 * Recovery time after a loss: the lease expires, the row is written, new owners get
	 * grants.
	 */
	static final long RECOVERY_NANOS = 800 * VirtualTime.MILLI;

	private static final long METER_WINDOW_NANOS = 10 * VirtualTime.SECOND;

	private static final long DISTANT_PAST_NANOS = -3600 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Churn churn = new Churn();

	private final List<LoadMeter> meters;

	private final TreeMap<Long, OwnedRange> ranges = new TreeMap<>();

	private int lost = -1;

	RangeOwnership(VirtualTime time, Deployment deployment) {
		this.time = time;
		this.deployment = deployment;
		this.meters = IntStream.range(0, deployment.servers())
			.mapToObj((i) -> new LoadMeter(METER_WINDOW_NANOS, 0))
			.toList();
		this.ranges.put(0L, new OwnedRange(KeyRange.ALL, -1, DISTANT_PAST_NANOS, 0));
		planSteps().forEach((step) -> apply(step, DISTANT_PAST_NANOS, 0));
	}

	// Returns an empty result while the range moves to a new owner.
	Optional<Integer> owner(KeyHash hash) {
		OwnedRange owned = this.ranges.floorEntry(hash.point()).getValue();
		return (owned.servedFromNanos() <= this.time.now()) ? Optional.of(owned.owner()) : Optional.empty();
	}

	void recordLoad(int server, KeyHash hash, long nanos) {
		this.meters.get(server).record(hash, nanos, this.time.now());
	}

	void markLost(int server) {
		this.lost = server;
	}

	void rebalance(long moveNanos) {
		planSteps().forEach((step) -> {
			recordMoves(step);
			apply(step, this.time.now(), this.time.now() + moveNanos);
		});
	}

	Churn churn() {
		return this.churn;
	}

	private void recordMoves(PlacementStep step) {
		if (step instanceof PlacementStep.Move move) {
			this.churn.recordMove(move.cause(), move.range().size() / (double) KeyHash.SPACE);
		}
	}

	private List<PlacementStep> planSteps() {
		List<Member> members = IntStream.range(0, this.deployment.servers()).mapToObj(this::member).toList();
		List<PlacementInput.Range> measured = new ArrayList<>();
		this.ranges.values().forEach((owned) -> measured.add(measure(owned)));
		return new BalancingPlacement().plan(new PlacementInput(this.time.now() / VirtualTime.MILLI,
				new ServiceName("service"), members, measured, this.deployment.weights()));
	}

	private Member member(int server) {
		Phase phase = (server == this.lost) ? Phase.LOST : Phase.ACTIVE;
		return new Member(instance(server), new FailureDomain("domain-" + server), this.deployment.slots(), phase, 1);
	}

	private static InstanceId instance(int server) {
		return new InstanceId("instance-" + server);
	}

	private PlacementInput.Range measure(OwnedRange owned) {
		long movedMillis = owned.movedNanos() / VirtualTime.MILLI;
		if (owned.owner() < 0) {
			return new PlacementInput.Range(owned.range(), Optional.empty(), 0, Optional.empty(), movedMillis);
		}
		LoadMeter meter = this.meters.get(owned.owner());
		long now = this.time.now();
		return new PlacementInput.Range(owned.range(), Optional.of(instance(owned.owner())),
				meter.busySlots(owned.range(), owned.servedFromNanos(), now),
				meter.hottest(owned.range(), owned.servedFromNanos(), now), movedMillis);
	}

	private void apply(PlacementStep step, long movedNanos, long openNanos) {
		switch (step) {
			case PlacementStep.Split split -> split(split);
			case PlacementStep.Merge merge -> merge(merge);
			case PlacementStep.Move move -> {
				int to = Integer.parseInt(move.to().value().substring("instance-".length()));
				this.ranges.put(move.range().low(), new OwnedRange(move.range(), to, movedNanos, openNanos));
			}
		}
	}

	private void split(PlacementStep.Split split) {
		OwnedRange whole = this.ranges.get(split.range().low());
		if (whole == null || !whole.range().equals(split.range())) {
			throw new IllegalStateException("no range " + split.range());
		}
		List.of(new KeyRange(split.range().low(), split.at()), new KeyRange(split.at(), split.range().high()))
			.forEach((part) -> this.ranges.put(part.low(),
					new OwnedRange(part, whole.owner(), whole.movedNanos(), whole.servedFromNanos())));
	}

	private void merge(PlacementStep.Merge merge) {
		Map.Entry<Long, OwnedRange> first = this.ranges.floorEntry(merge.first().low());
		OwnedRange second = this.ranges.remove(merge.second().low());
		if (second == null || first.getValue().owner() != second.owner()) {
			throw new IllegalStateException("%s and %s have two owners".formatted(merge.first(), merge.second()));
		}
		this.ranges.put(merge.first().low(),
				new OwnedRange(new KeyRange(merge.first().low(), merge.second().high()), second.owner(),
						Math.max(first.getValue().movedNanos(), second.movedNanos()),
						Math.max(first.getValue().servedFromNanos(), second.servedFromNanos())));
	}

	private record OwnedRange(KeyRange range, int owner, long movedNanos, long servedFromNanos) {

	}

}
