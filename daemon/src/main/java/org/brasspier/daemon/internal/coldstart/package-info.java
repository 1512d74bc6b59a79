/**
 * Health checks that tell whether the local backend server is cold.
 */
@NullMarked
package org.brasspier.daemon.internal.coldstart;

import org.jspecify.annotations.NullMarked;
