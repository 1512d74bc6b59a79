/**
 * Event loop threads, one for each duty, and the bounded queues between them.
 */
@NullMarked
package org.brasspier.daemon.internal.loop;

import org.jspecify.annotations.NullMarked;
