/**
 * What the way of a request costs.
 */
@NullMarked
package org.brasspier.bench.path;

import org.jspecify.annotations.NullMarked;
