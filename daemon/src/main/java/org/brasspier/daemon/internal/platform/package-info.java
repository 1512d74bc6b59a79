/**
 * The platform's table service and object store, each behind one narrow interface, and
 * their HTTP clients.
 */
@NullMarked
package org.brasspier.daemon.internal.platform;

import org.jspecify.annotations.NullMarked;
