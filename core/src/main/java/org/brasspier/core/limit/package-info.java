/**
 * Limits of requests that backend servers announce in their answers.
 */
@NullMarked
package org.brasspier.core.limit;

import org.jspecify.annotations.NullMarked;
