package org.brasspier.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * A proxy between processes that injects network faults. All its links run on one thread.
 * Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {

	private final StandInLoop loop = new StandInLoop("fault-proxy");

	private final Map<String, FaultLink> links = new ConcurrentHashMap<>();

	/**
	 * Returns the TCP link with this name, and opens it first if there is none.
	 * @param name the link's name, for instance {@code FROM>TO}
	 * @param target address that the link forwards to
	 * @param delayMillis delay of each direction, in milliseconds
	 * @return the link
	 */
	public FaultLink link(String name, InetSocketAddress target, double delayMillis) {
		return this.links.computeIfAbsent(name, (unused) -> new FaultLink(this.loop, name, target, delayMillis, false));
	}

	/**
	 * Opens a TCP link that refuses connections while its target does not listen.
	 * @param name the link's name, for instance {@code FROM>TO}
	 * @param target address that the link forwards to
	 * @return the link, without delay
	 */
	FaultLink targetFollowingLink(String name, InetSocketAddress target) {
		return this.links.computeIfAbsent(name, (unused) -> new FaultLink(this.loop, name, target, 0, true));
	}

	/**
	 * Opens a UDP link.
	 * @param target address that the link forwards to
	 * @param delayMillis delay of each direction, in milliseconds
	 * @return the link
	 * @throws IOException if no port can be opened
	 */
	public DatagramLink datagramLink(InetSocketAddress target, double delayMillis) throws IOException {
		DatagramChannel channel = DatagramChannel.open().bind(Ports.free());
		return new DatagramLink(this.loop, channel, target, delayMillis);
	}

	/**
	 * Returns the open TCP links that a filter selects.
	 * @param filter selects links by their name
	 * @return the links
	 */
	public List<FaultLink> links(Predicate<String> filter) {
		return this.links.values().stream().filter((link) -> filter.test(link.name())).toList();
	}

	/**
	 * Sets all TCP links to {@link LinkState#HEALTHY}.
	 */
	public void heal() {
		this.links.values().forEach((link) -> link.state(LinkState.HEALTHY));
	}

	@Override
	public void close() {
		this.links.values().forEach(FaultLink::close);
		this.loop.close();
	}

}
