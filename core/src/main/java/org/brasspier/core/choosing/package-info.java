/**
 * Selection of a backend server for each request of a service that is not sharded.
 */
@NullMarked
package org.brasspier.core.choosing;

import org.jspecify.annotations.NullMarked;
