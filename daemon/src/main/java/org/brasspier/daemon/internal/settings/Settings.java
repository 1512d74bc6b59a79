package org.brasspier.daemon.internal.settings;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * The settings as flags; each may also come from the environment as {@code BRASSPIER_}
 * and the flag's name in capitals, the flag going first.
 */
public final class Settings {

	/** This instance's identity. */
	@Parameter(names = "--instance", description = "identity of this instance", required = true)
	public String instance = "";

	/** Where callers connect. */
	@Parameter(names = "--caller-listen", description = "IP:PORT for callers")
	public String callerListen = "127.0.0.1:7000";

	/** Where peers send requests. */
	@Parameter(names = "--forward-listen", description = "IP:PORT for requests forwarded by peers")
	public String forwardListen = "127.0.0.1:7001";

	/** Where the backend server announces itself. */
	@Parameter(names = "--backend-listen", description = "IP:PORT for the backend server beside this daemon")
	public String backendListen = "127.0.0.1:7002";

	/** The instances of the thin path. */
	@Parameter(names = "--members", description = "ID=SERVICE@IP:FORWARD_PORT of each instance")
	public List<String> members = new ArrayList<>();

}
