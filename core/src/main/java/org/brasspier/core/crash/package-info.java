/**
 * Handling of requests that crash the backend servers that run them: crashes are
 * detected, reported to all daemons, and the requests are blocked from the remaining
 * servers.
 */
@NullMarked
package org.brasspier.core.crash;

import org.jspecify.annotations.NullMarked;
