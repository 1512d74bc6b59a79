/**
 * Callers that come back after a refusal: how an entry recognizes them, and what a
 * request's entry tells the gate about them. No input, output, clock or thread.
 */
@NullMarked
package org.brasspier.core.returns;

import org.jspecify.annotations.NullMarked;
