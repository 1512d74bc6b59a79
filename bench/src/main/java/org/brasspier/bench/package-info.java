/**
 * Benchmarks and the demonstration program. None of this code is part of the released
 * software.
 */
@NullMarked
package org.brasspier.bench;

import org.jspecify.annotations.NullMarked;
