/**
 * The daemon of a mesh, and what an adapter to a platform supplies for it: how callers,
 * backend servers, operators and the store speak. An adapter translates and decides
 * nothing.
 */
@NullMarked
package org.brasspier.daemon.mesh;

import org.jspecify.annotations.NullMarked;
