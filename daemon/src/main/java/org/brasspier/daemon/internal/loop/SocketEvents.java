package org.brasspier.daemon.internal.loop;

import java.io.IOException;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.net.socket.tcp.TcpSocket;

/**
 * A socket inspector that does nothing; subclasses override the events they need.
 * Confined to the thread of its sockets.
 */
public abstract class SocketEvents extends AbstractInspector<TcpSocket.Inspector> implements TcpSocket.Inspector {

	@Override
	public void onConnect(TcpSocket socket) {
		// Ignored by default.
	}

	@Override
	public void onReadTimeout(TcpSocket socket) {
		// Ignored by default.
	}

	@Override
	public void onRead(TcpSocket socket, ByteBuf buf) {
		// Ignored by default.
	}

	@Override
	public void onReadEndOfStream(TcpSocket socket) {
		// Ignored by default.
	}

	@Override
	public void onReadError(TcpSocket socket, IOException ex) {
		// Ignored by default.
	}

	@Override
	public void onWriteTimeout(TcpSocket socket) {
		// Ignored by default.
	}

	@Override
	public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
		// Ignored by default.
	}

	@Override
	public void onWriteError(TcpSocket socket, IOException ex) {
		// Ignored by default.
	}

	@Override
	public void onDisconnect(TcpSocket socket) {
		// Ignored by default.
	}

}
