/**
 * Connections between daemons.
 */
@NullMarked
package org.brasspier.daemon.internal.peer;

import org.jspecify.annotations.NullMarked;
