/**
 * The configuration of the mesh of daemons, and the decisions that a daemon makes for
 * each request based on it. No input, output, clock or thread.
 */
@NullMarked
package org.brasspier.core.mesh;

import org.jspecify.annotations.NullMarked;
