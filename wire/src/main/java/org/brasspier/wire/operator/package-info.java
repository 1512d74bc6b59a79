/**
 * What the command line and the operator port say to each other, as JSON.
 */
@NullMarked
package org.brasspier.wire.operator;

import org.jspecify.annotations.NullMarked;
