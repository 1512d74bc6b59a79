package org.brasspier.daemon.internal.settings;

import com.beust.jcommander.Parameter;
import org.brasspier.wire.Handshake;

/**
 * The daemon's flags, filled in by JCommander. Each flag can also be set in the
 * environment, see {@link EnvironmentDefaults}. Secrets are read only from the
 * environment or from files, so that they don't appear in process listings.
 */
final class Flags {

	@Parameter(names = "--help", help = true, description = "show this help and exit")
	boolean help;

	@Parameter(names = "--instance", description = "identity of this instance")
	String instance = "";

	@Parameter(names = "--failure-domain", description = "failure domain this instance is in")
	String failureDomain = "";

	@Parameter(names = "--cell", description = "cell this instance belongs to")
	String cell = "main";

	@Parameter(names = "--caller-listen", description = "IP:PORT for callers")
	String callerListen = "127.0.0.1:7000";

	@Parameter(names = "--forward-listen", description = "IP:PORT for requests forwarded by other daemons")
	String forwardListen = "127.0.0.1:7001";

	@Parameter(names = "--control-listen", description = "IP:PORT for heartbeats and grants of other daemons")
	String controlListen = "127.0.0.1:7002";

	@Parameter(names = "--backend-listen", description = "IP:PORT for the backend server on this instance")
	String backendListen = "127.0.0.1:7003";

	@Parameter(names = "--operator-listen", description = "IP:PORT for operators")
	String operatorListen = "127.0.0.1:7004";

	@Parameter(names = "--advertise",
			description = "IP address at which other daemons and callers reach this one, if not that of --caller-listen")
	String advertise = "";

	@Parameter(names = "--peer-ports",
			description = "INSTANCE=IP:CONTROL:FORWARD of peers not reached as they advertise, separated by commas")
	String peerPorts = "";

	@Parameter(names = "--table", description = "IP:PORT of the platform's table service")
	String table = "";

	@Parameter(names = "--object-store", description = "IP:PORT of the platform's object store")
	String objectStore = "";

	@Parameter(names = "--platform-token-file",
			description = "file with the platform's bearer tokens, one per line; if one is refused, the next is tried")
	String platformTokenFile = "";

	@Parameter(names = "--shared-keys-file", description = "file with the keys that daemons share, one per line")
	String sharedKeysFile = "";

	@Parameter(names = "--operator-secrets-file", description = "file with the operators' secrets, one per line")
	String operatorSecretsFile = "";

	@Parameter(names = "--max-body-bytes", description = "maximum size of the body of a request or answer, in bytes")
	int maxBodyBytes = 1 << 20;

	@Parameter(names = "--log-format", description = "text or json")
	String logFormat = "text";

	@Parameter(names = "--max-leave-millis", description = "maximum duration of a planned shutdown, in milliseconds")
	int maxLeaveMillis = 5_000;

	@Parameter(names = "--max-peer-version",
			description = "highest version of the protocol between daemons to use; features of newer versions stay off")
	int maxPeerVersion = Handshake.MAX_VERSION;

}
