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
 * The daemon's settings, validated by {@link SettingsReader}. Immutable and thread-safe;
 * {@link #toString()} contains no secret.
 *
 * @param instance the identity of this instance
 * @param failureDomain the failure domain of this instance
 * @param cell the cell of this instance
 * @param listen the addresses that the daemon listens on
 * @param advertisedHost the IP address at which others reach this daemon
 * @param peerPorts the addresses of peers that aren't reached as they advertise
 * @param platform the addresses of the platform's services
 * @param secrets the secrets
 * @param limits limits on sizes and times
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
	 * The addresses that the daemon listens on.
	 *
	 * @param callers the address for callers
	 * @param forwards the address for requests forwarded by other daemons
	 * @param control the address for heartbeats and grants
	 * @param backend the address for the backend server on this instance
	 * @param operators the address for operators
	 */
	public record Listen(InetSocketAddress callers, InetSocketAddress forwards, InetSocketAddress control,
			InetSocketAddress backend, InetSocketAddress operators) {

	}

	/**
	 * The address of a peer that isn't reached as it advertises, for example because of
	 * network address translation.
	 *
	 * @param host the IP address of the peer
	 * @param control the peer's control port
	 * @param forward the peer's port for forwarded requests
	 */
	public record PeerPorts(String host, int control, int forward) {

	}

	/**
	 * The addresses of the platform's services.
	 *
	 * @param table IP:PORT of the table service
	 * @param objectStore IP:PORT of the object store
	 */
	public record Platform(String table, String objectStore) {

	}

	/**
	 * The secrets; {@link #toString()} contains none of them.
	 *
	 * @param sharedKeys the keys that daemons share
	 * @param operatorSecrets the operators' secrets, all of which are accepted
	 * @param platformTokens the platform's bearer tokens; the first is tried first
	 * @param files the files that the secrets were read from
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
		 * Creates secrets that were read from the environment.
		 * @param sharedKeys the keys that daemons share
		 * @param operatorSecrets the operators' secrets, all of which are accepted
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
	 * The files that secrets were read from, which are reread while the daemon runs;
	 * empty for secrets from the environment.
	 *
	 * @param sharedKeys the file of the keys that daemons share
	 * @param operatorSecrets the file of the operators' secrets
	 * @param platformTokens the file of the platform's bearer tokens
	 */
	public record SecretFiles(Optional<Path> sharedKeys, Optional<Path> operatorSecrets,
			Optional<Path> platformTokens) {

		/** All secrets were read from the environment. */
		public static final SecretFiles NONE = new SecretFiles(Optional.empty(), Optional.empty(), Optional.empty());

	}

	/**
	 * Limits on sizes and times.
	 *
	 * @param maxBodyBytes the maximum size of the body of a request or answer, in bytes
	 * @param maxLeaveMillis the maximum duration of a planned shutdown, in milliseconds
	 * @param maxPeerVersion the highest version of the peer protocol to use
	 */
	public record Limits(int maxBodyBytes, int maxLeaveMillis, int maxPeerVersion) {

	}

}
