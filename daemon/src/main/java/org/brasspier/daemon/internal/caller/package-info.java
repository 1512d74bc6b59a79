/**
 * The HTTP port for callers.
 */
@NullMarked
package org.brasspier.daemon.internal.caller;

import org.jspecify.annotations.NullMarked;
