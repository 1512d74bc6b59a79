/**
 * What operators have configured for the mesh of daemons, and the decisions that a daemon
 * takes for each request from it. No input, output, clock or thread.
 */
@NullMarked
package org.brasspier.core.mesh;

import org.jspecify.annotations.NullMarked;
