package org.brasspier.integration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * Sends bytes to a port on which a daemon accepts other daemons.
 */
final class RawPeer {

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private RawPeer() {
	}

	/** Returns whether the other side closed the connection within ten seconds. */
	static boolean sendAndAwaitClose(InetSocketAddress address, byte[] bytes) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.getOutputStream().write(bytes);
			return awaitClose(socket);
		}
	}

	private static boolean awaitClose(Socket socket) {
		try {
			while (socket.getInputStream().read() >= 0) {
				continue;
			}
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

}
