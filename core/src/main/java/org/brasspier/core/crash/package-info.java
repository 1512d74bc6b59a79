/**
 * Which requests crash the backend servers that run them.
 */
@NullMarked
package org.brasspier.core.crash;

import org.jspecify.annotations.NullMarked;
