/**
 * Assigns the keys of a sharded service to backend servers, decides who may move them,
 * and what a daemon may grant to its local backend server. Performs no I/O, reads no
 * clock and starts no threads: callers pass the time in.
 */
@NullMarked
package org.brasspier.core.keys;

import org.jspecify.annotations.NullMarked;
