/**
 * The protocol between the brasspier processes: MessagePack frames over TCP and the
 * handshake that opens each connection; also the encoding of stored state.
 */
@NullMarked
package org.brasspier.wire;

import org.jspecify.annotations.NullMarked;
