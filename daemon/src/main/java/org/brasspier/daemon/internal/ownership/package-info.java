/**
 * Keeping this instance's lease and managing the leases of others.
 */
@NullMarked
package org.brasspier.daemon.internal.ownership;

import org.jspecify.annotations.NullMarked;
