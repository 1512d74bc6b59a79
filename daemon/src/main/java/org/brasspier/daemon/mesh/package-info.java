/**
 * The daemon of a mesh, and the interfaces that an adapter to a platform implements for
 * it: the protocols of callers, backend servers, operators and the store. An adapter only
 * translates; it makes no decisions.
 */
@NullMarked
package org.brasspier.daemon.mesh;

import org.jspecify.annotations.NullMarked;
