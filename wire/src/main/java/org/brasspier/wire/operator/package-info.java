/**
 * The JSON requests and answers of the operator port, shared by the daemon and the
 * command line.
 */
@NullMarked
package org.brasspier.wire.operator;

import org.jspecify.annotations.NullMarked;
