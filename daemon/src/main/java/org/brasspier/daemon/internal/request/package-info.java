/**
 * The way of a request: to its owner, through its gate, to the backend server and back.
 */
@NullMarked
package org.brasspier.daemon.internal.request;

import org.jspecify.annotations.NullMarked;
