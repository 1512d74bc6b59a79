package org.brasspier.daemon.internal.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.net.InetAddresses;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.daemon.internal.settings.Settings.PeerPorts;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.SharedKeys;

/**
 * Reads the settings from flags, environment variables and files of secrets, and
 * validates all of them: a single message names every invalid setting. An instance reads
 * once; not thread-safe.
 */
public final class SettingsReader {

	private static final int MAX_PORT = 65535;

	private final Map<String, String> environment;

	private final Flags flags = new Flags();

	private final List<String> faults = new ArrayList<>();

	/**
	 * Creates a reader.
	 * @param environment the environment variables
	 */
	public SettingsReader(Map<String, String> environment) {
		this.environment = Map.copyOf(environment);
	}

	/**
	 * Reads and validates the settings.
	 * @param arguments the command line arguments
	 * @return the settings, or a failure that names every invalid setting
	 */
	public Either<Failure, Settings> read(String[] arguments) {
		try {
			commandLineParser().parse(arguments);
		}
		catch (ParameterException ex) {
			return refused(String.valueOf(ex.getMessage()));
		}
		Optional<Settings> settings = readSettings();
		return settings.<Either<Failure, Settings>>map(Either::right)
			.orElseGet(() -> refused(String.join("; ", this.faults)));
	}

	/**
	 * Returns whether the command line only asks for help.
	 * @return true after {@code --help} was read
	 */
	public boolean isHelpRequested() {
		return this.flags.help;
	}

	/**
	 * Returns the log format that was read.
	 * @return {@code text} or {@code json}
	 */
	public String logFormat() {
		return this.flags.logFormat;
	}

	/**
	 * Returns the help text.
	 * @return all flags with their descriptions
	 */
	public String usage() {
		StringBuilder text = new StringBuilder();
		commandLineParser().getUsageFormatter().usage(text);
		return text.append("Each flag can be set in the environment: --max-body-bytes is BRASSPIER_MAX_BODY_BYTES.\n")
			.append("Secrets come from BRASSPIER_SHARED_KEYS, BRASSPIER_OPERATOR_SECRETS (both separated\n")
			.append("by commas) and BRASSPIER_PLATFORM_TOKEN, or from the files named above, one per line.\n")
			.append("The files are reread every second, so secrets can be rotated without a restart.\n")
			.toString();
	}

	private JCommander commandLineParser() {
		return JCommander.newBuilder()
			.addObject(this.flags)
			.programName("brasspierd")
			.defaultProvider(new EnvironmentDefaults(this.environment))
			.build();
	}

	private static Either<Failure, Settings> refused(String faults) {
		return Either.left(Failure.of(ErrorKind.BAD_REQUEST,
				"settings refused: " + faults + " (see TROUBLESHOOTING.md#settings)"));
	}

	private Optional<Settings> readSettings() {
		Optional<InstanceId> instance = parseOrAddFault("--instance", () -> new InstanceId(this.flags.instance));
		Optional<FailureDomain> domain = parseOrAddFault("--failure-domain",
				() -> new FailureDomain(this.flags.failureDomain));
		Optional<String> cell = parseOrAddFault("--cell", () -> new InstanceId(this.flags.cell).value());
		Optional<Settings.Listen> listen = readListenAddresses();
		Optional<Map<InstanceId, PeerPorts>> peers = parseOrAddFault("--peer-ports", this::parsePeerPorts);
		parseOrAddFault("--table", () -> parseAddress(this.flags.table));
		parseOrAddFault("--object-store", () -> parseAddress(this.flags.objectStore));
		Optional<Settings.Secrets> secrets = readSecrets();
		Optional<Settings.Limits> limits = parseOrAddFault("--max-body-bytes, --max-leave-millis, --max-peer-version",
				this::readLimits);
		parseOrAddFault("--log-format", this::readLogFormat);
		if (!this.faults.isEmpty()) {
			return Optional.empty();
		}
		String host = (this.flags.advertise.isEmpty()) ? listen.orElseThrow().callers().getHostString()
				: this.flags.advertise;
		return Optional
			.of(new Settings(instance.orElseThrow(), domain.orElseThrow(), cell.orElseThrow(), listen.orElseThrow(),
					host, peers.orElseThrow(), new Settings.Platform(this.flags.table, this.flags.objectStore),
					secrets.orElseThrow(), limits.orElseThrow()));
	}

	private Optional<Settings.Listen> readListenAddresses() {
		Optional<InetSocketAddress> callers = parseOrAddFault("--caller-listen",
				() -> parseAddress(this.flags.callerListen));
		Optional<InetSocketAddress> forwards = parseOrAddFault("--forward-listen",
				() -> parseAddress(this.flags.forwardListen));
		Optional<InetSocketAddress> control = parseOrAddFault("--control-listen",
				() -> parseAddress(this.flags.controlListen));
		Optional<InetSocketAddress> backend = parseOrAddFault("--backend-listen",
				() -> parseAddress(this.flags.backendListen));
		Optional<InetSocketAddress> operators = parseOrAddFault("--operator-listen",
				() -> parseAddress(this.flags.operatorListen));
		if (!this.faults.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new Settings.Listen(callers.orElseThrow(), forwards.orElseThrow(), control.orElseThrow(),
				backend.orElseThrow(), operators.orElseThrow()));
	}

	private Optional<Settings.Secrets> readSecrets() {
		Optional<SharedKeys> keys = parseOrAddFault("BRASSPIER_SHARED_KEYS or --shared-keys-file",
				() -> new SharedKeys(readSecretList("BRASSPIER_SHARED_KEYS", this.flags.sharedKeysFile)));
		Optional<List<String>> operators = parseOrAddFault("BRASSPIER_OPERATOR_SECRETS or --operator-secrets-file",
				this::readOperatorSecrets);
		Optional<List<String>> tokens = parseOrAddFault("BRASSPIER_PLATFORM_TOKEN or --platform-token-file",
				() -> readSecretList("BRASSPIER_PLATFORM_TOKEN", this.flags.platformTokenFile));
		return (keys.isPresent() && operators.isPresent() && tokens.isPresent())
				? Optional.of(new Settings.Secrets(keys.get(), operators.get(), tokens.get(), secretFiles()))
				: Optional.empty();
	}

	private Settings.SecretFiles secretFiles() {
		return new Settings.SecretFiles(optionalPath(this.flags.sharedKeysFile),
				optionalPath(this.flags.operatorSecretsFile), optionalPath(this.flags.platformTokenFile));
	}

	private static Optional<Path> optionalPath(String file) {
		return Optional.of(file).filter((name) -> !name.isEmpty()).map(Path::of);
	}

	private List<String> readOperatorSecrets() {
		return SecretLines
			.validateOperatorSecrets(readSecretList("BRASSPIER_OPERATOR_SECRETS", this.flags.operatorSecretsFile));
	}

	private List<String> readSecretList(String variable, String file) {
		try {
			return (file.isEmpty()) ? SecretLines.parse(this.environment.getOrDefault(variable, "").split(","))
					: SecretLines.read(Path.of(file));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the file %s can't be read".formatted(file), ex);
		}
	}

	private Settings.Limits readLimits() {
		if (this.flags.maxBodyBytes < 1 || this.flags.maxLeaveMillis < 1) {
			throw new IllegalArgumentException("--max-body-bytes %d and --max-leave-millis %d must be at least 1"
				.formatted(this.flags.maxBodyBytes, this.flags.maxLeaveMillis));
		}
		if (this.flags.maxPeerVersion < Handshake.MIN_VERSION || this.flags.maxPeerVersion > Handshake.MAX_VERSION) {
			throw new IllegalArgumentException("peer version %d must be %d to %d".formatted(this.flags.maxPeerVersion,
					Handshake.MIN_VERSION, Handshake.MAX_VERSION));
		}
		return new Settings.Limits(this.flags.maxBodyBytes, this.flags.maxLeaveMillis, this.flags.maxPeerVersion);
	}

	private String readLogFormat() {
		if (!List.of("text", "json").contains(this.flags.logFormat)) {
			throw new IllegalArgumentException("\"%s\" must be text or json".formatted(this.flags.logFormat));
		}
		return this.flags.logFormat;
	}

	private Map<InstanceId, PeerPorts> parsePeerPorts() {
		return Arrays.stream(this.flags.peerPorts.split(","))
			.filter((entry) -> !entry.isBlank())
			.map((entry) -> entry.strip().split("[=:]"))
			.collect(Collectors.toMap((parts) -> new InstanceId(parts[0]), SettingsReader::parsePeerPorts));
	}

	private static PeerPorts parsePeerPorts(String[] parts) {
		if (parts.length != 4 || !InetAddresses.isInetAddress(parts[1])) {
			throw new IllegalArgumentException("an entry must have the form INSTANCE=IP:CONTROL:FORWARD");
		}
		return new PeerPorts(parts[1], parsePort(parts[2]), parsePort(parts[3]));
	}

	private static InetSocketAddress parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0 || !InetAddresses.isInetAddress(text.substring(0, colon))) {
			throw new IllegalArgumentException("\"%s\" must have the form IP:PORT".formatted(text));
		}
		return new InetSocketAddress(text.substring(0, colon), parsePort(text.substring(colon + 1)));
	}

	private static int parsePort(String text) {
		int port = (text.matches("[0-9]{1,5}")) ? Integer.parseInt(text) : 0;
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port \"%s\" must be 1 to %d".formatted(text, MAX_PORT));
		}
		return port;
	}

	private <T> Optional<T> parseOrAddFault(String setting, Supplier<T> parser) {
		try {
			return Optional.of(parser.get());
		}
		catch (IllegalArgumentException ex) {
			this.faults.add(setting + ": " + ex.getMessage());
			return Optional.empty();
		}
	}

}
