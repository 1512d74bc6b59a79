package org.brasspier.standins;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FaultProxyTests {

	private final FaultProxy proxy = new FaultProxy();

	private final InetSocketAddress target = Ports.free();

	private ServerSocket echo;

	@BeforeEach
	void listen() throws IOException {
		this.echo = new ServerSocket();
		this.echo.bind(this.target);
		Thread.ofVirtual().start(this::accept);
	}

	@AfterEach
	void stop() throws IOException {
		this.echo.close();
		this.proxy.close();
	}

	@Test
	void whatIsSentArrivesAfterTheDelayOfBothWays() throws IOException {
		FaultLink link = this.proxy.link("a>b", this.target, 20);
		try (Socket socket = connect(link)) {
			long before = System.nanoTime();
			assertThat(exchange(socket, 'x')).isEqualTo('x');
			assertThat(System.nanoTime() - before).isAtLeast(TimeUnit.MILLISECONDS.toNanos(38));
		}
	}

	@Test
	void whatIsHeldArrivesLateOnceTheLinkIsWholeAgain() throws IOException {
		FaultLink link = this.proxy.link("a>b", this.target, 0);
		try (Socket socket = connect(link)) {
			assertThat(exchange(socket, 'x')).isEqualTo('x');
			link.state(LinkState.HELD_BACK);
			assertThrows(SocketTimeoutException.class, () -> exchange(socket, 'y'));
			link.state(LinkState.HEALTHY);
			assertThat(socket.getInputStream().read()).isEqualTo('y');
		}
	}

	@Test
	void aSilencedConnectionStaysOpenAndSaysNothingWhileNewOnesWork() throws IOException {
		FaultLink link = this.proxy.link("a>b", this.target, 0);
		try (Socket old = connect(link); Socket fresh = connectAfter(old, link)) {
			assertThrows(SocketTimeoutException.class, () -> exchange(old, 'y'));
			assertThat(exchange(fresh, 'z')).isEqualTo('z');
		}
	}

	@Test
	void aResetLinkClosesOpenAndNewConnections() throws IOException {
		FaultLink link = this.proxy.link("a>b", this.target, 0);
		try (Socket old = connect(link)) {
			assertThat(exchange(old, 'x')).isEqualTo('x');
			link.state(LinkState.RESET);
			assertThat(ended(old)).isTrue();
			try (Socket fresh = connect(link)) {
				assertThat(ended(fresh)).isTrue();
			}
		}
	}

	@Test
	void datagramsPassBothWaysAndAreLostWhileHeld() throws IOException {
		try (DatagramSocket server = new DatagramSocket(Ports.free()); DatagramSocket socket = new DatagramSocket()) {
			DatagramLink link = this.proxy.datagramLink((InetSocketAddress) server.getLocalSocketAddress(), 1);
			socket.setSoTimeout(300);
			socket.send(new DatagramPacket(new byte[] { 'x' }, 1, link.address()));
			DatagramPacket request = new DatagramPacket(new byte[1], 1);
			server.receive(request);
			server.send(new DatagramPacket(new byte[] { 'y' }, 1, request.getSocketAddress()));
			DatagramPacket answer = new DatagramPacket(new byte[1], 1);
			socket.receive(answer);
			assertThat(answer.getData()[0]).isEqualTo((byte) 'y');
			link.state(LinkState.HELD_BACK);
			server.send(new DatagramPacket(new byte[] { 'z' }, 1, request.getSocketAddress()));
			assertThrows(SocketTimeoutException.class, () -> socket.receive(answer));
		}
	}

	private static Socket connect(FaultLink link) throws IOException {
		Socket socket = new Socket(link.address().getAddress(), link.address().getPort());
		socket.setSoTimeout(300);
		return socket;
	}

	private static Socket connectAfter(Socket old, FaultLink link) throws IOException {
		assertThat(exchange(old, 'x')).isEqualTo('x');
		link.silenceOpenConnections();
		return connect(link);
	}

	private static int exchange(Socket socket, char letter) throws IOException {
		socket.getOutputStream().write(letter);
		return socket.getInputStream().read();
	}

	private static boolean ended(Socket socket) {
		try {
			return socket.getInputStream().read() < 0;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

	private void accept() {
		while (!this.echo.isClosed()) {
			try {
				Socket socket = this.echo.accept();
				Thread.ofVirtual().start(() -> echo(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private static void echo(Socket socket) {
		try (socket) {
			socket.getInputStream().transferTo(socket.getOutputStream());
		}
		catch (IOException ex) {
			// Some tests break the connection on purpose.
		}
	}

}
