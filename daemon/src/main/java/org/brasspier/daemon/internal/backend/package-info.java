/**
 * The backend server beside this daemon: announcements, orders, grants.
 */
@NullMarked
package org.brasspier.daemon.internal.backend;

import org.jspecify.annotations.NullMarked;
