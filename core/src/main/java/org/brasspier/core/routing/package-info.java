/**
 * Who owns what, as far as this process knows.
 */
@NullMarked
package org.brasspier.core.routing;

import org.jspecify.annotations.NullMarked;
