package org.brasspier.core.routing;

/**
 * The ports of one daemon. Immutable and thread-safe.
 *
 * @param host the IP number
 * @param controlPort the port for heartbeats, leases and grants
 * @param forwardPort the port for forwarded requests
 * @param callerPort the port for callers, given to them as a hint where to go next time
 * @param operatorPort the port for operators, from which peers fetch the configuration
 * document as well
 */
public record PeerAddress(String host, int controlPort, int forwardPort, int callerPort, int operatorPort) {

}
