/**
 * Stand-ins for the systems that brasspier works with: backend servers, callers, the
 * platform's table service and object store, and a proxy that injects network faults. For
 * tests, trials and measurements only.
 */
@NullMarked
package org.brasspier.standins;

import org.jspecify.annotations.NullMarked;
