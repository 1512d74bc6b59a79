package org.brasspier.daemon.internal.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.wire.SharedKeys;

/**
 * The daemon's settings, checked as a whole by {@link SettingsReader}. Immutable and
 * thread-safe; its text shows no secret.
 *
 * @param instance this instance
 * @param failureDomain the failure domain it is in
 * @param cell the cell it belongs to
 * @param listen where it listens
 * @param advertisedHost the IP number under which others reach it
 * @param peerPorts peers that are reached another way than they advertise
 * @param platform where the platform's services are
 * @param secrets the secrets
 * @param limits bounds on sizes and times
 */
public record Settings(InstanceId instance, FailureDomain failureDomain, String cell, Listen listen,
		String advertisedHost, Map<InstanceId, PeerPorts> peerPorts, Platform platform, Secrets secrets,
		Limits limits) {

	/**
	 * Copies the map.
	 */
	public Settings {
		peerPorts = Map.copyOf(peerPorts);
	}

	/**
	 * Where the daemon listens.
	 *
	 * @param callers the port for callers
	 * @param forwards the port for requests forwarded by other daemons
	 * @param control the port for heartbeats and grants
	 * @param backend the port for the backend server beside this daemon
	 * @param operators the port for operators
	 */
	public record Listen(InetSocketAddress callers, InetSocketAddress forwards, InetSocketAddress control,
			InetSocketAddress backend, InetSocketAddress operators) {

	}

	/**
	 * Another way to a peer than the one it advertises, as where networks are translated.
	 *
	 * @param host the IP number
	 * @param control its control port
	 * @param forward its port for forwarded requests
	 */
	public record PeerPorts(String host, int control, int forward) {

	}

	/**
	 * Where the platform's services are.
	 *
	 * @param table the table service's IP:PORT
	 * @param objectStore the object store's IP:PORT
	 */
	public record Platform(String table, String objectStore) {

	}

	/**
	 * The secrets. Its text shows none of them.
	 *
	 * @param sharedKeys the keys that daemons share
	 * @param operatorSecrets the operators' secrets, each of them accepted
	 * @param platformTokens the platform's bearer tokens, the one to begin with first
	 * @param files the files they came from
	 */
	public record Secrets(SharedKeys sharedKeys, List<String> operatorSecrets, List<String> platformTokens,
			SecretFiles files) {

		/**
		 * Copies the lists.
		 */
		public Secrets {
			operatorSecrets = List.copyOf(operatorSecrets);
			platformTokens = List.copyOf(platformTokens);
		}

		/**
		 * Secrets that came from the environment.
		 * @param sharedKeys the keys that daemons share
		 * @param operatorSecrets the operators' secrets, each of them accepted
		 * @param platformToken the platform's bearer token
		 */
		public Secrets(SharedKeys sharedKeys, List<String> operatorSecrets, String platformToken) {
			this(sharedKeys, operatorSecrets, List.of(platformToken), SecretFiles.NONE);
		}

		@Override
		public String toString() {
			return "Secrets[]";
		}

	}

	/**
	 * The files that secrets came from, which are read anew while the daemon runs; empty
	 * where they came from the environment.
	 *
	 * @param sharedKeys the file of the keys that daemons share
	 * @param operatorSecrets the file of the operators' secrets
	 * @param platformTokens the file of the platform's bearer tokens
	 */
	public record SecretFiles(Optional<Path> sharedKeys, Optional<Path> operatorSecrets,
			Optional<Path> platformTokens) {

		/** All secrets came from the environment. */
		public static final SecretFiles NONE = new SecretFiles(Optional.empty(), Optional.empty(), Optional.empty());

	}

	/**
	 * Bounds on sizes and times.
	 *
	 * @param maxBodyBytes the largest body of a request or answer, in bytes
	 * @param maxLeaveMillis how long a planned stop may take, in milliseconds
	 * @param maxPeerVersion the highest version of the peer protocol to speak
	 */
	public record Limits(int maxBodyBytes, int maxLeaveMillis, int maxPeerVersion) {

	}

}
