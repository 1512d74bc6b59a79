/**
 * Decides when a request may be sent a second time.
 */
@NullMarked
package org.brasspier.core.retry;

import org.jspecify.annotations.NullMarked;
