/**
 * Parts of the gate before the local backend server.
 */
@NullMarked
package org.brasspier.daemon.internal.gate;

import org.jspecify.annotations.NullMarked;
