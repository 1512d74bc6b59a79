/**
 * Which requests a backend server runs now, which wait and which are refused at once.
 * Single-threaded decisions: the caller passes the time in and carries the answers out.
 */
@NullMarked
package org.brasspier.core.admission;

import org.jspecify.annotations.NullMarked;
