/**
 * Ownership of ranges: leases, epochs of lease managers and the row of a cell, as pure
 * state machines. Times are milliseconds of the process's own monotonic clock, passed in
 * by the caller.
 */
@NullMarked
package org.brasspier.core.ownership;

import org.jspecify.annotations.NullMarked;
