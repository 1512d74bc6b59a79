/**
 * The operator port: configuration documents, orders, status, events, metrics and
 * measures.
 */
@NullMarked
package org.brasspier.daemon.internal.operator;

import org.jspecify.annotations.NullMarked;
