/**
 * Benchmark of the time that a change of the configuration document takes to be in force
 * on all daemons.
 */
@NullMarked
package org.brasspier.bench.document;

import org.jspecify.annotations.NullMarked;
