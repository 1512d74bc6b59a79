import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client on a machine, with one kept connection. */
final class Caller implements AutoCloseable {

	final Socket socket = new Socket();

	final InputStream in;

	Caller(Machine machine) throws IOException {
		this(machine, 0);
	}

	Caller(Machine machine, int receiveBuffer) throws IOException {
		if (receiveBuffer > 0) {
			this.socket.setReceiveBufferSize(receiveBuffer);
		}
		this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), machine.port(0)), 1000);
		this.socket.setTcpNoDelay(true);
		this.in = (receiveBuffer > 0) ? this.socket.getInputStream()
				: new BufferedInputStream(this.socket.getInputStream());
	}

	void send(String method, String host, String target, String id, int deadlineMillis, String fields, byte[] body)
			throws IOException {
		String head = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
				+ "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + fields
				+ (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
		this.socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
		if (body.length > 0) {
			this.socket.getOutputStream().write(body);
		}
	}

	Http receive(int timeoutMillis) throws IOException {
		this.socket.setSoTimeout(timeoutMillis);
		return Http.read(this.in, false);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
