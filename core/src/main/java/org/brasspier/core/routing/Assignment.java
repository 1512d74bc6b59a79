package org.brasspier.core.routing;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;

/**
 * One range of one service with its owner. Immutable and thread-safe.
 *
 * @param range the points that are owned
 * @param owner the instance that owns them
 * @param fence the fence under which it does
 */
public record Assignment(KeyRange range, InstanceId owner, Fence fence) {

}
