package org.brasspier.daemon.internal.loop;

import java.io.IOException;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.net.socket.tcp.TcpSocket;

/**
 * An observer of sockets that does nothing; subclasses override what they want to know.
 * Belongs to the thread of its sockets.
 */
public abstract class SocketEvents extends AbstractInspector<TcpSocket.Inspector> implements TcpSocket.Inspector {

	@Override
	public void onConnect(TcpSocket socket) {
		// Not of interest to most.
	}

	@Override
	public void onReadTimeout(TcpSocket socket) {
		// Not of interest to most.
	}

	@Override
	public void onRead(TcpSocket socket, ByteBuf buf) {
		// Not of interest to most.
	}

	@Override
	public void onReadEndOfStream(TcpSocket socket) {
		// Not of interest to most.
	}

	@Override
	public void onReadError(TcpSocket socket, IOException ex) {
		// Not of interest to most.
	}

	@Override
	public void onWriteTimeout(TcpSocket socket) {
		// Not of interest to most.
	}

	@Override
	public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
		// Not of interest to most.
	}

	@Override
	public void onWriteError(TcpSocket socket, IOException ex) {
		// Not of interest to most.
	}

	@Override
	public void onDisconnect(TcpSocket socket) {
		// Not of interest to most.
	}

}
