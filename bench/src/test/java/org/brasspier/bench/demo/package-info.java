/**
 * Tests of the schedules of faults.
 */
@NullMarked
package org.brasspier.bench.demo;

import org.jspecify.annotations.NullMarked;
