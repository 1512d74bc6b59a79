/**
 * Benchmark of the request path.
 */
@NullMarked
package org.brasspier.bench.path;

import org.jspecify.annotations.NullMarked;
