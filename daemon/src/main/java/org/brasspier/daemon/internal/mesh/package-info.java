/**
 * A daemon of a mesh: entry for the callers on its instance, gate to the backend server
 * beside it, and keeper of the keys which that holds.
 */
@NullMarked
package org.brasspier.daemon.internal.mesh;

import org.jspecify.annotations.NullMarked;
