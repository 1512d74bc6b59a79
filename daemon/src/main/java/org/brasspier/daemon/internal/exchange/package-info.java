/**
 * Exchanges with a backend server: what identifies an answer on a connection, and what is
 * known of answers that belong to no request.
 */
@NullMarked
package org.brasspier.daemon.internal.exchange;

import org.jspecify.annotations.NullMarked;
