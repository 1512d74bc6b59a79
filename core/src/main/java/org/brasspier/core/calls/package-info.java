/**
 * Calls that backend servers make while they run other requests: which routes they use,
 * and admission control for the requests that lead to them.
 */
@NullMarked
package org.brasspier.core.calls;

import org.jspecify.annotations.NullMarked;
