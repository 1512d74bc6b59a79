/**
 * Decides which instance owns which range and which moves are worth their cost.
 */
@NullMarked
package org.brasspier.core.placement;

import org.jspecify.annotations.NullMarked;
