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
 * Reads the settings from flags, environment variables and files of secrets, and checks
 * them as a whole: one message names every wrong one. Serves one reading; not
 * thread-safe.
 */
public final class SettingsReader {

	private static final int MAX_PORT = 65535;

	private final Map<String, String> environment;

	private final Flags flags = new Flags();

	private final List<String> faults = new ArrayList<>();

	/**
	 * Creates a reader.
	 * @param environment the environment's variables
	 */
	public SettingsReader(Map<String, String> environment) {
		this.environment = Map.copyOf(environment);
	}

	/**
	 * Reads and checks.
	 * @param arguments the command line
	 * @return the settings, or a failure that names every fault
	 */
	public Either<Failure, Settings> read(String[] arguments) {
		try {
			commander().parse(arguments);
		}
		catch (ParameterException ex) {
			return refused(String.valueOf(ex.getMessage()));
		}
		Optional<Settings> settings = check();
		return settings.<Either<Failure, Settings>>map(Either::right)
			.orElseGet(() -> refused(String.join("; ", this.faults)));
	}

	/**
	 * Whether the command line only asks for help.
	 * @return true after reading {@code --help}
	 */
	public boolean helpWanted() {
		return this.flags.help;
	}

	/**
	 * The format of the log that was read.
	 * @return {@code text} or {@code json}
	 */
	public String logFormat() {
		return this.flags.logFormat;
	}

	/**
	 * The help text.
	 * @return all flags with their meaning
	 */
	public String usage() {
		StringBuilder text = new StringBuilder();
		commander().getUsageFormatter().usage(text);
		return text.append("Each flag may be set in the environment: --max-body-bytes is BRASSPIER_MAX_BODY_BYTES.\n")
			.append("Secrets come from BRASSPIER_SHARED_KEYS, BRASSPIER_OPERATOR_SECRETS (by comma) and\n")
			.append("BRASSPIER_PLATFORM_TOKEN, or from the files named above, one a line. The files are\n")
			.append("read anew each second, so secrets are rotated without a stop.\n")
			.toString();
	}

	private JCommander commander() {
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

	private Optional<Settings> check() {
		Optional<InstanceId> instance = valid("--instance", () -> new InstanceId(this.flags.instance));
		Optional<FailureDomain> domain = valid("--failure-domain", () -> new FailureDomain(this.flags.failureDomain));
		Optional<String> cell = valid("--cell", () -> new InstanceId(this.flags.cell).value());
		Optional<Settings.Listen> listen = listen();
		Optional<Map<InstanceId, PeerPorts>> peers = valid("--peer-ports", this::peerPorts);
		valid("--table", () -> address(this.flags.table));
		valid("--object-store", () -> address(this.flags.objectStore));
		Optional<Settings.Secrets> secrets = secrets();
		Optional<Settings.Limits> limits = valid("--max-body-bytes, --max-leave-millis, --max-peer-version",
				this::limits);
		valid("--log-format", this::checkedLogFormat);
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

	private Optional<Settings.Listen> listen() {
		Optional<InetSocketAddress> callers = valid("--caller-listen", () -> address(this.flags.callerListen));
		Optional<InetSocketAddress> forwards = valid("--forward-listen", () -> address(this.flags.forwardListen));
		Optional<InetSocketAddress> control = valid("--control-listen", () -> address(this.flags.controlListen));
		Optional<InetSocketAddress> backend = valid("--backend-listen", () -> address(this.flags.backendListen));
		Optional<InetSocketAddress> operators = valid("--operator-listen", () -> address(this.flags.operatorListen));
		if (!this.faults.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new Settings.Listen(callers.orElseThrow(), forwards.orElseThrow(), control.orElseThrow(),
				backend.orElseThrow(), operators.orElseThrow()));
	}

	private Optional<Settings.Secrets> secrets() {
		Optional<SharedKeys> keys = valid("BRASSPIER_SHARED_KEYS or --shared-keys-file",
				() -> new SharedKeys(secretList("BRASSPIER_SHARED_KEYS", this.flags.sharedKeysFile)));
		Optional<List<String>> operators = valid("BRASSPIER_OPERATOR_SECRETS or --operator-secrets-file",
				this::operatorSecrets);
		Optional<List<String>> tokens = valid("BRASSPIER_PLATFORM_TOKEN or --platform-token-file",
				() -> secretList("BRASSPIER_PLATFORM_TOKEN", this.flags.platformTokenFile));
		return (keys.isPresent() && operators.isPresent() && tokens.isPresent())
				? Optional.of(new Settings.Secrets(keys.get(), operators.get(), tokens.get(), secretFiles()))
				: Optional.empty();
	}

	private Settings.SecretFiles secretFiles() {
		return new Settings.SecretFiles(path(this.flags.sharedKeysFile), path(this.flags.operatorSecretsFile),
				path(this.flags.platformTokenFile));
	}

	private static Optional<Path> path(String file) {
		return Optional.of(file).filter((name) -> !name.isEmpty()).map(Path::of);
	}

	private List<String> operatorSecrets() {
		return SecretLines
			.checkedOperatorSecrets(secretList("BRASSPIER_OPERATOR_SECRETS", this.flags.operatorSecretsFile));
	}

	private List<String> secretList(String variable, String file) {
		try {
			return (file.isEmpty()) ? SecretLines.of(this.environment.getOrDefault(variable, "").split(","))
					: SecretLines.read(Path.of(file));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the file %s can't be read".formatted(file), ex);
		}
	}

	private Settings.Limits limits() {
		if (this.flags.maxBodyBytes < 1 || this.flags.maxLeaveMillis < 1) {
			throw new IllegalArgumentException(
					"%d and %d must be at least 1".formatted(this.flags.maxBodyBytes, this.flags.maxLeaveMillis));
		}
		if (this.flags.maxPeerVersion < Handshake.MIN_VERSION || this.flags.maxPeerVersion > Handshake.MAX_VERSION) {
			throw new IllegalArgumentException("peer version %d must be %d to %d".formatted(this.flags.maxPeerVersion,
					Handshake.MIN_VERSION, Handshake.MAX_VERSION));
		}
		return new Settings.Limits(this.flags.maxBodyBytes, this.flags.maxLeaveMillis, this.flags.maxPeerVersion);
	}

	private String checkedLogFormat() {
		if (!List.of("text", "json").contains(this.flags.logFormat)) {
			throw new IllegalArgumentException("\"%s\" must be text or json".formatted(this.flags.logFormat));
		}
		return this.flags.logFormat;
	}

	private Map<InstanceId, PeerPorts> peerPorts() {
		return Arrays.stream(this.flags.peerPorts.split(","))
			.filter((entry) -> !entry.isBlank())
			.map((entry) -> entry.strip().split("[=:]"))
			.collect(Collectors.toMap((parts) -> new InstanceId(parts[0]), SettingsReader::peerPorts));
	}

	private static PeerPorts peerPorts(String[] parts) {
		if (parts.length != 4 || !InetAddresses.isInetAddress(parts[1])) {
			throw new IllegalArgumentException("an entry must read INSTANCE=IP:CONTROL:FORWARD");
		}
		return new PeerPorts(parts[1], port(parts[2]), port(parts[3]));
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0 || !InetAddresses.isInetAddress(text.substring(0, colon))) {
			throw new IllegalArgumentException("\"%s\" must read IP:PORT".formatted(text));
		}
		return new InetSocketAddress(text.substring(0, colon), port(text.substring(colon + 1)));
	}

	private static int port(String text) {
		int port = (text.matches("[0-9]{1,5}")) ? Integer.parseInt(text) : 0;
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port \"%s\" must be 1 to %d".formatted(text, MAX_PORT));
		}
		return port;
	}

	private <T> Optional<T> valid(String setting, Supplier<T> reading) {
		try {
			return Optional.of(reading.get());
		}
		catch (IllegalArgumentException ex) {
			this.faults.add(setting + ": " + ex.getMessage());
			return Optional.empty();
		}
	}

}
