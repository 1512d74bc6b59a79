package org.brasspier.core.routing;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;

/**
 * The assignment of one range of a service to its owner. Immutable and thread-safe.
 *
 * @param range the range of points
 * @param owner the instance that owns it
 * @param fence the fence under which it was granted
 */
public record Assignment(KeyRange range, InstanceId owner, Fence fence) {

}
