/**
 * Renewal of this instance's lease, and management of the leases of other instances.
 */
@NullMarked
package org.brasspier.daemon.internal.ownership;

import org.jspecify.annotations.NullMarked;
