package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;

import com.google.common.primitives.Bytes;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Request targets with bytes above 127.
 */
class TargetBytesTests {

	private static void send(Socket socket, byte[] target) throws IOException {
		socket.getOutputStream()
			.write(Bytes.concat("GET ".getBytes(StandardCharsets.US_ASCII), target,
					" HTTP/1.1\r\nHost: h\r\nX-Name: \u00E9\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)));
	}

	/**
	 * Guards against a server that is asked for another resource than its caller has
	 * named.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "/caf\u00E9", "/\u6771\u4EAC?q=\u20AC", "/\uD83D\uDE00" })
	void aTargetReachesTheServerWithTheSameBytes(String target) throws Exception {
		byte[] bytes = target.getBytes(StandardCharsets.UTF_8);
		try (RunningCallerServer server = new RunningCallerServer(Duration.ofMinutes(1));
				Socket caller = server.connect()) {
			send(caller, bytes);
			RunningCallerServer.await("the request is served", () -> server.served.get() == 1);
			RawRequest request = server.lastRequest();
			byte[] passedOn = MessageText.request(request);
			assertThat(Arrays.copyOfRange(passedOn, 4, 4 + bytes.length)).isEqualTo(bytes);
			assertThat(new String(passedOn, StandardCharsets.ISO_8859_1)).contains("X-Name: \u00E9\r\n");
		}
	}

	/**
	 * Guards against a target that is passed on with a question mark in place of a byte
	 * that could not be decoded.
	 */
	@Test
	void aTargetThatIsNotUtf8IsRefused() throws Exception {
		try (RunningCallerServer server = new RunningCallerServer(Duration.ofMinutes(1));
				Socket caller = server.connect()) {
			server.expectMalformed();
			send(caller, new byte[] { '/', (byte) 0xE9, '/', 'x' });
			byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 400".length());
			assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 400");
			assertThat(server.served.get()).isEqualTo(0);
		}
	}

}
