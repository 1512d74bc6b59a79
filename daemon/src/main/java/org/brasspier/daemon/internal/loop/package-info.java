/**
 * Threads, one for each duty, and the bounded rings that join them.
 */
@NullMarked
package org.brasspier.daemon.internal.loop;

import org.jspecify.annotations.NullMarked;
