/**
 * Who owns what: leases, epochs of lease managers and the row of a cell, as pure state
 * machines. Time is passed in as milliseconds of the process's own monotonic clock.
 */
@NullMarked
package org.brasspier.core.ownership;

import org.jspecify.annotations.NullMarked;
