/**
 * What travels between brasspier's own processes: frames of MessagePack over TCP, and the
 * handshake that opens each connection.
 */
@NullMarked
package org.brasspier.wire;

import org.jspecify.annotations.NullMarked;
