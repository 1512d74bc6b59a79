/**
 * Small stand-ins for what surrounds brasspier: backend servers, the platform's table and
 * object store, and a proxy that injects faults. For tests, trials and measurements only.
 */
@NullMarked
package org.brasspier.standins;

import org.jspecify.annotations.NullMarked;
