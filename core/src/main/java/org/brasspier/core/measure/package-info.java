/**
 * The measures that decide the renewal: imbalance, churn and unavailable time, calculated
 * from the daemons' counters.
 */
@NullMarked
package org.brasspier.core.measure;

import org.jspecify.annotations.NullMarked;
