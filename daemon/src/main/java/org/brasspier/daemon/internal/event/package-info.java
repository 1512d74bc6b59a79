/**
 * The event log of this process, from which operators read what happened and in which
 * order.
 */
@NullMarked
package org.brasspier.daemon.internal.event;

import org.jspecify.annotations.NullMarked;
