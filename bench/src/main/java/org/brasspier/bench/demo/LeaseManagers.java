package org.brasspier.bench.demo;

import java.util.Optional;

import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.ManagerPair;
import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.StandInInstance;
import org.brasspier.wire.CellRowCodec;

/**
 * Which instances are the lease managers, by the cell's row in the platform's table.
 * Immutable and thread-safe.
 *
 * @param primary the primary
 * @param secondary the secondary
 */
public record LeaseManagers(StandInInstance primary, StandInInstance secondary) {

	/**
	 * Waits until the row names two managers whose daemons run.
	 * @param deployment the deployment
	 * @return the managers
	 */
	public static LeaseManagers await(Deployment deployment) {
		Await.until("the cell has two lease managers", () -> read(deployment).isPresent());
		return read(deployment).orElseThrow();
	}

	private static Optional<LeaseManagers> read(Deployment deployment) {
		return deployment.platform()
			.row("cell/" + deployment.shape().name())
			.flatMap((value) -> CellRowCodec.decode(value).toJavaOptional())
			.flatMap(CellRow::managers)
			.filter((pair) -> pair.secondary().isPresent())
			.map((pair) -> of(deployment, pair))
			.filter((managers) -> managers.primary().daemon().isAlive() && managers.secondary().daemon().isAlive());
	}

	private static LeaseManagers of(Deployment deployment, ManagerPair pair) {
		return new LeaseManagers(deployment.instance(pair.primary().instance().value()),
				deployment.instance(pair.secondary().orElseThrow().instance().value()));
	}

	/**
	 * Whether an instance is one of the two.
	 * @param instance the instance
	 * @return true if it is
	 */
	public boolean contains(StandInInstance instance) {
		return instance.equals(this.primary) || instance.equals(this.secondary);
	}

}
