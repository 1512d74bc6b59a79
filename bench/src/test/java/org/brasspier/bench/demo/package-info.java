/**
 * Tests of fault schedules and of the summary of the demonstration.
 */
@NullMarked
package org.brasspier.bench.demo;

import org.jspecify.annotations.NullMarked;
