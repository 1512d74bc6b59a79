/**
 * Runs whole deployments of real processes: the demonstration, random mixes of faults,
 * and the measurement of recovery. All figures come from what callers and backend servers
 * recorded.
 */
@NullMarked
package org.brasspier.bench.demo;

import org.jspecify.annotations.NullMarked;
