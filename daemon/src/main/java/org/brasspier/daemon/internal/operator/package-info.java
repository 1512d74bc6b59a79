/**
 * The operator port: documents, orders, status, time line, metrics and measures.
 */
@NullMarked
package org.brasspier.daemon.internal.operator;

import org.jspecify.annotations.NullMarked;
