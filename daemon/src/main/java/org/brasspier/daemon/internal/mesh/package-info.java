/**
 * A daemon of the mesh: accepts requests of the callers on its instance, controls
 * admission to the local backend server, and manages the keys which that server holds.
 */
@NullMarked
package org.brasspier.daemon.internal.mesh;

import org.jspecify.annotations.NullMarked;
