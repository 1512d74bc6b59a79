package org.brasspier.standins;

import com.beust.jcommander.Parameter;

/**
 * The command-line flags of a {@link BackendStandIn}. Set once by the parser, then only
 * read.
 */
final class BackendFlags {

	@Parameter(names = "--name", required = true, description = "the server's name in its history")
	String name = "";

	@Parameter(names = "--service", required = true)
	String service = "";

	@Parameter(names = "--listen", required = true, description = "IP:PORT for orders")
	String listen = "";

	@Parameter(names = "--advertise", description = "IP:PORT to announce, if not that of --listen")
	String advertise = "";

	@Parameter(names = "--daemon", required = true, description = "IP:PORT of the daemon's backend port")
	String backendPort = "";

	@Parameter(names = "--callers", description = "IP:PORT of the daemon's caller port, for internal calls")
	String callerPort = "";

	@Parameter(names = "--slots")
	int slots = 17;

	@Parameter(names = "--waiting", description = "orders that may wait for a slot before more are shed")
	int maxWaiting = 17;

	@Parameter(names = "--connections")
	int connections = 120;

	@Parameter(names = "--checks-fences", arity = 1)
	boolean checksFences = true;

	@Parameter(names = "--cold-start-millis",
			description = "how long after the start each order takes three times as long")
	int coldStartMillis;

	@Parameter(names = "--lookup-millis")
	int lookupMillis = 2;

	@Parameter(names = "--posting-millis")
	int postingMillis = 5;

	@Parameter(names = "--internal-millis")
	int internalMillis = 1;

	@Parameter(names = "--audit-millis")
	int auditMillis = 40;

	@Parameter(names = "--spread", description = "share by which the duration of an order varies up and down, 0 to 1")
	double spread = 0.5;

	@Parameter(names = "--lying", description = "health always says ready and idle")
	boolean reportsIdle;

}
