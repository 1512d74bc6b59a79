/**
 * The daemon's implementation. None of its classes are meant for use by other modules.
 */
@NullMarked
package org.brasspier.daemon.internal;

import org.jspecify.annotations.NullMarked;
