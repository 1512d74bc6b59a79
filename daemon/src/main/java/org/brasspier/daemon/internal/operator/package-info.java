/**
 * The port for operators.
 */
@NullMarked
package org.brasspier.daemon.internal.operator;

import org.jspecify.annotations.NullMarked;
