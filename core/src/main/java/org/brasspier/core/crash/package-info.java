/**
 * Requests that crash the backend servers that run them: found out, told to all daemons,
 * kept away from the servers that are left.
 */
@NullMarked
package org.brasspier.core.crash;

import org.jspecify.annotations.NullMarked;
