package org.brasspier.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A range of ports that no other process of this machine hands out. Without it another
 * process could take a port while the process that listens on it restarts, since the port
 * looks free then. The slice's first port stays bound while the slice is held, so the
 * system releases the slice however this process ends. Immutable and thread-safe.
 *
 * @param lowest the first port that may be handed out
 * @param guardSocket socket bound to the port before it, which reserves the slice
 */
record PortSlice(int lowest, ServerSocket guardSocket) implements AutoCloseable {

	private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();

	/**
	 * Claims a slice. If all are held, waits until one is released.
	 * @param first the first port of all slices
	 * @param ports number of ports of a slice
	 * @param preferred the slice to try first, from 1 on
	 * @param slices number of slices
	 * @return the slice, held until it is closed or this process ends
	 */
	static PortSlice claim(int first, int ports, int preferred, int slices) {
		return Stream.generate(() -> tryClaim(first, ports, preferred, slices))
			.flatMap(Optional::stream)
			.findFirst()
			.orElseThrow();
	}

	private static Optional<PortSlice> tryClaim(int first, int ports, int preferred, int slices) {
		Optional<PortSlice> free = IntStream.range(0, slices)
			.map((step) -> first + (preferred - 1 + step) % slices * ports)
			.mapToObj(PortSlice::tryBind)
			.flatMap(Optional::stream)
			.findFirst();
		if (free.isEmpty()) {
			LockSupport.parkNanos(RETRY_NANOS);
		}
		return free;
	}

	private static Optional<PortSlice> tryBind(int port) {
		try {
			return Optional.of(new PortSlice(port + 1, new ServerSocket(port, 1, InetAddress.getLoopbackAddress())));
		}
		catch (IOException ex) {
			// Another process holds the slice.
			return Optional.empty();
		}
	}

	@Override
	public void close() throws IOException {
		this.guardSocket.close();
	}

}
