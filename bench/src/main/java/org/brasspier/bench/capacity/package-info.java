/**
 * Measures slopes: how memory, traffic and processor time grow with each relevant size,
 * measured at four or more sizes and fitted by a straight line. docs/CAPACITY.md is
 * calculated from them.
 */
@NullMarked
package org.brasspier.bench.capacity;

import org.jspecify.annotations.NullMarked;
