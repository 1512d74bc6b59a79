package org.brasspier.daemon.internal.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendCallsTests {

	/** Later than the timeout of the calls, sooner than the HTTP client's own check. */
	private static final long LATE_MILLIS = 900;

	// Guards against a silent connection that blocks the only grants call in flight for
	// longer than the grants are valid.
	@Test
	void aCallOnASilentConnectionTimesOutAndClosesTheConnection() throws IOException {
		List<String> order = new ArrayList<>();
		Eventloop loop = Eventloop.builder().withCurrentThread().build();
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			BackendCalls calls = new BackendCalls(loop);
			calls.setAddress("127.0.0.1:" + silent.getLocalPort());
			loop.post(() -> {
				calls.grants(GrantList.until(0, List.of())).whenResult((taken) -> order.add("taken " + taken));
				loop.delay(LATE_MILLIS, () -> order.add("late"));
			});
			loop.run();
			assertThat(order).containsExactly("taken false", "late").inOrder();
			try (Socket accepted = silent.accept()) {
				assertThat(accepted.getInputStream().readAllBytes()).isNotEmpty();
			}
		}
	}

}
