/**
 * Benchmark of the cost of ownership with real processes.
 */
@NullMarked
package org.brasspier.bench.ownership;

import org.jspecify.annotations.NullMarked;
