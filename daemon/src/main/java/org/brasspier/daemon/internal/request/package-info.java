/**
 * Processing of requests: routing to the owner, admission by the owner and by the gate of
 * the backend server, execution, and relaying of the answer.
 */
@NullMarked
package org.brasspier.daemon.internal.request;

import org.jspecify.annotations.NullMarked;
