/**
 * HTTP/1.1 connections to callers and backend servers: Jetty's parser on the sockets of
 * the event loop. The HTTP server of the event loop library serves one request of a
 * connection at a time and reports a disconnect of the caller late; its client can't
 * forward the host of a request. They are used for the ports where neither matters.
 */
@NullMarked
package org.brasspier.daemon.internal.http;

import org.jspecify.annotations.NullMarked;
