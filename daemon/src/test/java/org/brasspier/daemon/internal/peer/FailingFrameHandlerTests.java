package org.brasspier.daemon.internal.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import org.brasspier.wire.FrameWriter;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FailingFrameHandlerTests {

	/**
	 * Guards against a connection that stays open and is never read on, with requests
	 * that have no outcome, after the handling of a frame has failed.
	 */
	@Test
	void aConnectionWhoseFrameCannotBeHandledIsClosed() throws Exception {
		Eventloop loop = Eventloop.create();
		SimpleServer server = SimpleServer
			.builder(loop, (socket) -> PeerConnection.unauthenticated(socket, 1000, (frame) -> {
				throw new IllegalStateException("expected");
			}))
			.withListenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.build();
		server.listen();
		Thread.ofPlatform().daemon().start(loop);
		InetSocketAddress address = server.getBoundAddresses().get(0);
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream().write(new FrameWriter().number(1).frame());
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
		finally {
			loop.execute(server::close);
		}
	}

}
