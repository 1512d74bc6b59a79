package org.brasspier.core.ownership;

import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * A range on its way from a living owner to another. Immutable and thread-safe.
 *
 * @param held the range as its present owner holds it
 * @param to who gets it, if somebody can
 * @param cause why
 */
public record PlannedMove(HeldRange held, Optional<InstanceId> to, MoveCause cause) {

}
