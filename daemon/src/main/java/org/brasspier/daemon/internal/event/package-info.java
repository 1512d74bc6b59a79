/**
 * The time line of this process.
 */
@NullMarked
package org.brasspier.daemon.internal.event;

import org.jspecify.annotations.NullMarked;
