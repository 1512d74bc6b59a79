/**
 * Estimates of what requests cost, by route.
 */
@NullMarked
package org.brasspier.core.cost;

import org.jspecify.annotations.NullMarked;
