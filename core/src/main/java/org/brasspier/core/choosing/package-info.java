/**
 * Which backend server takes a request of a service that is not divided by key.
 */
@NullMarked
package org.brasspier.core.choosing;

import org.jspecify.annotations.NullMarked;
