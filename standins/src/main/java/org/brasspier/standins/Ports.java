package org.brasspier.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Hands out free ports of 127.0.0.1. They lie below the range that the system uses for
 * outgoing connections, so that a port stays free until its process has started.
 * Thread-safe.
 */
public final class Ports {

	/**
	 * System property with the number, from 1, of the slice of ports that this process
	 * claims first; if another process holds it, the next free one is used.
	 */
	public static final String SLICE_PROPERTY = "brasspier.standins.port-slice";

	private static final int SLICE_PORTS = 5_000;

	private static final int FIRST_PORT = 12_000;

	private static final int PORTS_END = 32_000;

	private static final int MAX_TRIES = 1000;

	private Ports() {
	}

	/**
	 * Returns a port that nothing listens on and that this process has not handed out
	 * before.
	 * @return the address on 127.0.0.1
	 */
	public static synchronized InetSocketAddress free() {
		IllegalStateException noFreePort = new IllegalStateException(
				"no free port was found in %d tries".formatted(MAX_TRIES));
		for (int i = 0; i < MAX_TRIES; i++) {
			int port = ThreadLocalRandom.current().nextInt(ProcessSlice.LOWEST, ProcessSlice.HIGHEST);
			Optional<IOException> failure = ProcessSlice.handedOut.contains(port) ? Optional.empty() : tryBind(port);
			if (failure.isEmpty() && ProcessSlice.handedOut.add(port)) {
				return new InetSocketAddress("127.0.0.1", port);
			}
			failure.ifPresent(noFreePort::addSuppressed);
		}
		throw noFreePort;
	}

	private static Optional<IOException> tryBind(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return Optional.empty();
		}
		catch (IOException ex) {
			return Optional.of(ex);
		}
	}

	/**
	 * Parses an address.
	 * @param text as {@code IP:PORT}
	 * @return the address
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * Formats an address.
	 * @param address the address
	 * @return as {@code IP:PORT}
	 */
	public static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * The slice of this process. It is claimed when the first port is requested, so that
	 * programs that only parse and format addresses claim none.
	 */
	private static final class ProcessSlice {

		private static final int SLICES = (PORTS_END - FIRST_PORT) / SLICE_PORTS;

		private static final int PREFERRED = Integer.getInteger(SLICE_PROPERTY, 1);

		static {
			if (PREFERRED < 1 || PREFERRED > SLICES) {
				throw new IllegalStateException(
						"%s is %d, not from 1 to %d".formatted(SLICE_PROPERTY, PREFERRED, SLICES));
			}
		}

		// Never closed: this process holds it until it exits.
		private static final PortSlice SLICE = PortSlice.claim(FIRST_PORT, SLICE_PORTS, PREFERRED, SLICES);

		static final int LOWEST = SLICE.lowest();

		static final int HIGHEST = LOWEST + SLICE_PORTS - 1;

		static final Set<Integer> handedOut = new HashSet<>();

	}

}
