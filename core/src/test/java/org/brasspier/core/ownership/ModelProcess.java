package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.placement.PlacementWeights;
import org.brasspier.core.placement.SpreadUnowned;
import org.brasspier.core.routing.PeerAddress;

/**
 * One process of the model: its state machine and its clock.
 */
final class ModelProcess {

	static final ServiceName SERVICE = new ServiceName("hullbook");

	final InstanceId instance;

	final long ratePermille;

	final long startedAt;

	OwnershipMachine machine;

	boolean paused;

	boolean left;

	/** Steps that wait while the process is paused, as in the kernel's buffers. */
	final List<Runnable> backlog = new ArrayList<>();

	ModelProcess(String name, String domain, int incarnation, long ratePermille, long startedAt,
			CellModel.Setup setup) {
		this.instance = new InstanceId(name);
		this.ratePermille = ratePermille;
		this.startedAt = startedAt;
		MemberInfo me = new MemberInfo(new MemberKey(this.instance, incarnation), new FailureDomain(domain),
				new PeerAddress("127.0.0.1", 1, 2, 3, 4), MemberPhase.ACTIVE,
				Optional.of(new MemberInfo.Backend(SERVICE, 1, true, 0, 0)));
		this.machine = new OwnershipMachine(me, setup.timing(),
				new PrimaryState.Placement(new SpreadUnowned(), PlacementWeights.EQUAL, setup.ranges()), setup.guards(),
				0);
	}

	private ModelProcess(ModelProcess other) {
		this.instance = other.instance;
		this.ratePermille = other.ratePermille;
		this.startedAt = other.startedAt;
		this.machine = other.machine.copy();
		this.paused = other.paused;
		this.left = other.left;
	}

	ModelProcess copy() {
		return new ModelProcess(this);
	}

	/**
	 * Converts real time to the process's own clock.
	 * @param realTime the real time, milliseconds
	 * @return milliseconds since its start on its own clock
	 */
	long clock(long realTime) {
		return (realTime - this.startedAt) * this.ratePermille / 1000;
	}

	/**
	 * Returns what this process would serve now by its own checks, also while it is
	 * paused and only its clock continues.
	 * @param realTime the real time, milliseconds
	 * @return the ranges, empty once its lease has expired
	 */
	List<HeldRange> serves(long realTime) {
		OwnershipState view = this.machine.view();
		if (clock(realTime) >= view.leaseEnd()) {
			return List.of();
		}
		List<HeldRange> ranges = new ArrayList<>(view.held().stream().map(RangeState::held).toList());
		ranges.addAll(view.draining());
		return ranges;
	}

}
