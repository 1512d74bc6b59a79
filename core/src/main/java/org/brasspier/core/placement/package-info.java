/**
 * Which instance should own which range, and which moves are worth their price.
 */
@NullMarked
package org.brasspier.core.placement;

import org.jspecify.annotations.NullMarked;
