package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * One instance of a deployment: a daemon and the backend server beside it, each a process
 * of its own. Thread-safe.
 *
 * @param name the instance's name
 * @param domain its failure domain
 * @param service its service
 * @param ports addresses on which its daemon listens
 * @param callers its address for callers, through the proxy
 * @param daemon the daemon's process
 * @param server the backend server's process
 * @param secrets the files of its daemon's secrets
 */
public record StandInInstance(String name, String domain, ServiceShape service, DaemonPorts ports,
		InetSocketAddress callers, ProgramProcess daemon, ProgramProcess server, InstanceSecrets secrets) {

	/** A planned stop takes a few seconds; the daemon limits it to one minute. */
	private static final Duration STOP_LIMIT = Duration.ofSeconds(60);

	/**
	 * Starts both processes.
	 */
	public void start() {
		this.daemon.start();
		this.server.start();
	}

	/**
	 * Kills both processes without warning.
	 */
	public void kill() {
		this.server.kill();
		this.daemon.kill();
	}

	/**
	 * Pauses both processes.
	 */
	public void pause() {
		this.daemon.pause();
		this.server.pause();
	}

	/**
	 * Continues a paused instance.
	 */
	public void resume() {
		this.server.resume();
		this.daemon.resume();
	}

	/**
	 * Stops the instance in an orderly way: the server drains first, then the daemon
	 * leaves.
	 * @throws IllegalStateException if either does not end in time
	 */
	public void stop() {
		this.server.terminate();
		this.server.awaitExit(STOP_LIMIT);
		this.daemon.terminate();
		this.daemon.awaitExit(STOP_LIMIT);
	}

}
