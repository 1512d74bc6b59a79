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
 * Hands out free ports of 127.0.0.1, below those that the system gives to outgoing
 * connections, so that a port stays free until its process has started. Thread-safe.
 */
public final class Ports {

	/**
	 * Names the slice of ports that this process hands out, from 1 on. Test processes
	 * that run side by side have a slice each: a port that one has handed out and whose
	 * process is just being restarted would look free to the other.
	 */
	public static final String SLICE_PROPERTY = "brasspier.standins.port-slice";

	private static final int SLICE_PORTS = 5_000;

	private static final int FIRST = 12_000;

	private static final int LAST = 32_000;

	private static final int SLICE = Integer.getInteger(SLICE_PROPERTY, 1);

	private static final int LOWEST = FIRST + (SLICE - 1) * SLICE_PORTS;

	private static final int HIGHEST = LOWEST + SLICE_PORTS;

	private static final int MAX_TRIES = 1000;

	private static final Set<Integer> given = new HashSet<>();

	static {
		if (SLICE < 1 || HIGHEST > LAST) {
			throw new IllegalStateException(
					"%s is %d, not from 1 to %d".formatted(SLICE_PROPERTY, SLICE, (LAST - FIRST) / SLICE_PORTS));
		}
	}

	private Ports() {
	}

	/**
	 * A port that nothing listens on and that this process has not handed out before.
	 * @return the address on 127.0.0.1
	 */
	public static synchronized InetSocketAddress free() {
		IllegalStateException none = new IllegalStateException(
				"no free port was found in %d tries".formatted(MAX_TRIES));
		for (int i = 0; i < MAX_TRIES; i++) {
			int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
			Optional<IOException> fault = given.contains(port) ? Optional.empty() : bind(port);
			if (fault.isEmpty() && given.add(port)) {
				return new InetSocketAddress("127.0.0.1", port);
			}
			fault.ifPresent(none::addSuppressed);
		}
		throw none;
	}

	private static Optional<IOException> bind(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return Optional.empty();
		}
		catch (IOException ex) {
			return Optional.of(ex);
		}
	}

	/**
	 * Reads an address.
	 * @param text as {@code IP:PORT}
	 * @return the address
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * Writes an address.
	 * @param address the address
	 * @return as {@code IP:PORT}
	 */
	public static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
