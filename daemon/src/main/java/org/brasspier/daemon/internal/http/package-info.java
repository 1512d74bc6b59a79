/**
 * HTTP/1.1 connections to callers and backend servers: a library's parser on the event
 * loop's sockets. The event loop's own HTTP server serves one request of a connection at
 * a time and tells late when a caller is gone; its client can't pass a request's host on.
 * It serves the ports where neither matters.
 */
@NullMarked
package org.brasspier.daemon.internal.http;

import org.jspecify.annotations.NullMarked;
