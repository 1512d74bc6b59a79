/**
 * Calls and urgency at the gate before the local backend server.
 */
@NullMarked
package org.brasspier.daemon.internal.calls;

import org.jspecify.annotations.NullMarked;
