/**
 * Slopes: how state, bytes and processor time grow with each size that matters, measured
 * at four sizes or more and fitted by a straight line. docs/CAPACITY.md is worked out
 * from them.
 */
@NullMarked
package org.brasspier.bench.capacity;

import org.jspecify.annotations.NullMarked;
