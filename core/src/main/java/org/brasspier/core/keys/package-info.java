/**
 * Which backend server holds which keys of a service that is divided by key, who may move
 * them, and what a daemon may grant to the backend server beside it. No input, output,
 * clock or thread: times are passed in.
 */
@NullMarked
package org.brasspier.core.keys;

import org.jspecify.annotations.NullMarked;
