/**
 * What decides the renewal: imbalance, churn and unavailable time, from what daemons
 * counted.
 */
@NullMarked
package org.brasspier.core.measure;

import org.jspecify.annotations.NullMarked;
