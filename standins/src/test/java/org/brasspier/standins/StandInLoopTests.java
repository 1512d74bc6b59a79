package org.brasspier.standins;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

import io.activej.net.socket.tcp.TcpSocket;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StandInLoopTests {

	// Guards against a test process that runs out of file descriptors: connections of
	// callers and proxies that have ended must not stay open in it.
	@Test
	void connectionsOfALoopThatIsClosedAreClosed() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			StandInLoop loop = new StandInLoop("test");
			loop.execute(() -> TcpSocket.connect(loop.reactor(), (InetSocketAddress) server.getLocalSocketAddress())
				.whenResult(TcpSocket::read));
			try (Socket accepted = server.accept()) {
				accepted.setSoTimeout((int) Await.LIMIT.toMillis());
				loop.close();
				assertThat(accepted.getInputStream().read()).isEqualTo(-1);
			}
		}
	}

}
