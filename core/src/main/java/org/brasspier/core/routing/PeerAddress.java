package org.brasspier.core.routing;

/**
 * The IP address and the ports of one daemon. Immutable and thread-safe.
 *
 * @param host the IP address
 * @param controlPort the port for heartbeats, leases and grants
 * @param forwardPort the port for forwarded requests
 * @param callerPort the port for callers, told to them as a hint for their next request
 * @param operatorPort the port for operators, from which peers also fetch the
 * configuration document
 */
public record PeerAddress(String host, int controlPort, int forwardPort, int callerPort, int operatorPort) {

}
