/**
 * The ownership of ranges, as far as this process knows it.
 */
@NullMarked
package org.brasspier.core.routing;

import org.jspecify.annotations.NullMarked;
