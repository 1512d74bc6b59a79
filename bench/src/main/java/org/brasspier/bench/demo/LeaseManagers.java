package org.brasspier.bench.demo;

import java.util.Optional;

import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.ManagerPair;
import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.StandInInstance;
import org.brasspier.wire.CellRowCodec;

/**
 * The instances that are the lease managers according to the cell's row in the platform's
 * table. Immutable and thread-safe.
 *
 * @param primary the primary lease manager
 * @param secondary the secondary lease manager
 */
public record LeaseManagers(StandInInstance primary, StandInInstance secondary) {

	/**
	 * Waits until the row names two lease managers whose daemons are running.
	 * @param deployment the deployment
	 * @return the lease managers
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
	 * Returns whether an instance is one of the two lease managers.
	 * @param instance the instance
	 * @return true if the instance is a lease manager
	 */
	public boolean contains(StandInInstance instance) {
		return instance.equals(this.primary) || instance.equals(this.secondary);
	}

}
