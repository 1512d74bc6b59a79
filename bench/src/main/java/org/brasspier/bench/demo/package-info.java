/**
 * Programs that run complete deployments of real processes: the demonstration, random
 * fault schedules, and the recovery and outage benchmarks. Request outcomes and recovery
 * times are computed from the records of callers and backend servers; the stages of a
 * recovery come from the event logs of the daemons.
 */
@NullMarked
package org.brasspier.bench.demo;

import org.jspecify.annotations.NullMarked;
