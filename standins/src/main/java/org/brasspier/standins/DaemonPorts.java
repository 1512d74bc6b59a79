package org.brasspier.standins;

import java.net.InetSocketAddress;

/**
 * The addresses on which one daemon listens. Immutable and thread-safe.
 *
 * @param callers the port for callers
 * @param forwards the port for forwarded requests
 * @param control the port for heartbeats and grants
 * @param backend the port for the backend server
 * @param operators the port for operators
 */
public record DaemonPorts(InetSocketAddress callers, InetSocketAddress forwards, InetSocketAddress control,
		InetSocketAddress backend, InetSocketAddress operators) {

	static DaemonPorts free() {
		return new DaemonPorts(Ports.free(), Ports.free(), Ports.free(), Ports.free(), Ports.free());
	}

}
