/**
 * What the daemon is made of. Nothing here is meant for use from outside.
 */
@NullMarked
package org.brasspier.daemon.internal;

import org.jspecify.annotations.NullMarked;
