package org.brasspier.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.HashMap;
import java.util.Map;

import io.activej.net.socket.udp.IUdpSocket;
import io.activej.net.socket.udp.UdpPacket;
import io.activej.net.socket.udp.UdpSocket;

/**
 * One UDP address of the proxy and where it leads. Datagrams that are held are lost, as
 * they are on a network. Thread-safe.
 */
public final class DatagramLink {

	private final StandInLoop loop;

	private final InetSocketAddress listen;

	private final InetSocketAddress target;

	private final double delayMillis;

	private final Map<InetSocketAddress, IUdpSocket> senders = new HashMap<>();

	private volatile LinkState state = LinkState.WHOLE;

	DatagramLink(StandInLoop loop, DatagramChannel channel, InetSocketAddress target, double delayMillis)
			throws IOException {
		this.loop = loop;
		this.listen = (InetSocketAddress) channel.getLocalAddress();
		this.target = target;
		this.delayMillis = delayMillis;
		channel.configureBlocking(false);
		loop.execute(() -> UdpSocket.connect(loop.reactor(), channel).whenResult((near) -> receive(near)));
	}

	/**
	 * The address to send to in place of the target's.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.listen;
	}

	/**
	 * Changes what the link does.
	 * @param next the new state; {@link LinkState#RESET} loses everything too
	 */
	public void state(LinkState next) {
		this.state = next;
	}

	private void receive(IUdpSocket near) {
		near.receive().whenResult((packet) -> {
			forth(near, packet);
			receive(near);
		});
	}

	private void forth(IUdpSocket near, UdpPacket packet) {
		if (lost(this.state.holdsForth())) {
			packet.recycle();
			return;
		}
		IUdpSocket far = this.senders.computeIfAbsent(packet.getSocketAddress(), (sender) -> open(near, sender));
		later(() -> far.send(UdpPacket.of(packet.getBuf(), this.target)));
	}

	private IUdpSocket open(IUdpSocket near, InetSocketAddress sender) {
		try {
			DatagramChannel channel = DatagramChannel.open().bind(Ports.free());
			channel.configureBlocking(false);
			IUdpSocket far = UdpSocket.connect(this.loop.reactor(), channel).getResult();
			back(near, far, sender);
			return far;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void back(IUdpSocket near, IUdpSocket far, InetSocketAddress sender) {
		far.receive().whenResult((packet) -> {
			if (lost(this.state.holdsBack())) {
				packet.recycle();
			}
			else {
				later(() -> near.send(UdpPacket.of(packet.getBuf(), sender)));
			}
			back(near, far, sender);
		});
	}

	private boolean lost(boolean held) {
		return held || this.state == LinkState.RESET;
	}

	private void later(Runnable send) {
		this.loop.reactor().delay(Math.round(this.delayMillis), send);
	}

}
