/**
 * Measurements and the demo. Nothing here is part of the product.
 */
@NullMarked
package org.brasspier.bench;

import org.jspecify.annotations.NullMarked;
