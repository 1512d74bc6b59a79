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
 * A UDP socket of the proxy that forwards datagrams to a target and answers back.
 * Datagrams are dropped while their direction is held, since a network doesn't buffer
 * them. Thread-safe.
 */
public final class DatagramLink {

	private final StandInLoop loop;

	private final InetSocketAddress listen;

	private final InetSocketAddress target;

	private final double delayMillis;

	private final Map<InetSocketAddress, IUdpSocket> socketsBySender = new HashMap<>();

	private volatile LinkState state = LinkState.HEALTHY;

	DatagramLink(StandInLoop loop, DatagramChannel channel, InetSocketAddress target, double delayMillis)
			throws IOException {
		this.loop = loop;
		this.listen = (InetSocketAddress) channel.getLocalAddress();
		this.target = target;
		this.delayMillis = delayMillis;
		channel.configureBlocking(false);
		loop.execute(
				() -> UdpSocket.connect(loop.reactor(), channel).whenResult((clientSocket) -> receive(clientSocket)));
	}

	/**
	 * The address to send to instead of the target's.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.listen;
	}

	/**
	 * Changes the state of the link.
	 * @param next the new state; {@link LinkState#RESET} drops all datagrams as well
	 */
	public void state(LinkState next) {
		this.state = next;
	}

	private void receive(IUdpSocket clientSocket) {
		clientSocket.receive().whenResult((packet) -> {
			sendToTarget(clientSocket, packet);
			receive(clientSocket);
		});
	}

	private void sendToTarget(IUdpSocket clientSocket, UdpPacket packet) {
		if (isDropped(this.state.holdsRequests())) {
			packet.recycle();
			return;
		}
		IUdpSocket targetSocket = this.socketsBySender.computeIfAbsent(packet.getSocketAddress(),
				(sender) -> openTargetSocket(clientSocket, sender));
		sendDelayed(() -> targetSocket.send(UdpPacket.of(packet.getBuf(), this.target)));
	}

	private IUdpSocket openTargetSocket(IUdpSocket clientSocket, InetSocketAddress sender) {
		try {
			DatagramChannel channel = DatagramChannel.open().bind(Ports.free());
			channel.configureBlocking(false);
			IUdpSocket targetSocket = UdpSocket.connect(this.loop.reactor(), channel).getResult();
			receiveFromTarget(clientSocket, targetSocket, sender);
			return targetSocket;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void receiveFromTarget(IUdpSocket clientSocket, IUdpSocket targetSocket, InetSocketAddress sender) {
		targetSocket.receive().whenResult((packet) -> {
			if (isDropped(this.state.holdsAnswers())) {
				packet.recycle();
			}
			else {
				sendDelayed(() -> clientSocket.send(UdpPacket.of(packet.getBuf(), sender)));
			}
			receiveFromTarget(clientSocket, targetSocket, sender);
		});
	}

	private boolean isDropped(boolean held) {
		return held || this.state == LinkState.RESET;
	}

	private void sendDelayed(Runnable send) {
		this.loop.reactor().delay(Math.round(this.delayMillis), send);
	}

}
