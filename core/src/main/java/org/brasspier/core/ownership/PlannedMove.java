package org.brasspier.core.ownership;

import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * A pending move of a range from a live owner. Immutable and thread-safe.
 *
 * @param held the range as its current owner holds it
 * @param to the new owner, if there is one
 * @param cause the reason
 */
public record PlannedMove(HeldRange held, Optional<InstanceId> to, MoveCause cause) {

}
