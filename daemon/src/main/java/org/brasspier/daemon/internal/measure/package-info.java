/**
 * Counts the requests from which the measures are computed, and stores the measures in
 * the platform's table.
 */
@NullMarked
package org.brasspier.daemon.internal.measure;

import org.jspecify.annotations.NullMarked;
