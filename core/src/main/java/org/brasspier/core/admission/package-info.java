/**
 * Admission control of a backend server: which requests run, wait or are refused.
 * Decisions are made on a single thread; the caller passes the time in and carries out
 * the results.
 */
@NullMarked
package org.brasspier.core.admission;

import org.jspecify.annotations.NullMarked;
