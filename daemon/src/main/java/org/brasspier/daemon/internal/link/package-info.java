/**
 * The one send window that all connections to other daemons share.
 */
@NullMarked
package org.brasspier.daemon.internal.link;

import org.jspecify.annotations.NullMarked;
