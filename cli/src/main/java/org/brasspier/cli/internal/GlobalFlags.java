package org.brasspier.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * Flags that precede the command name. JCommander fills them in.
 */
final class GlobalFlags {

	@Parameter(names = { "--help", "-h" }, help = true, description = "show this help, or that of a command")
	boolean help;

	@Parameter(names = "--daemon",
			description = "IP:PORT of a daemon's operator port; several by comma are tried in turn (or BRASSPIER_DAEMON)")
	List<String> daemonAddresses = new ArrayList<>();

	@Parameter(names = "--secret-file",
			description = "file with the operators' secret (or the variable BRASSPIER_OPERATOR_SECRET)")
	String secretFile = "";

	@Parameter(names = "--output", description = "table or json")
	String output = "table";

	@Parameter(names = "--draft", description = "file that keeps the draft (default: below $XDG_STATE_HOME)")
	String draftFile = "";

	@Parameter(names = "--timeout-seconds", description = "how long one call to a daemon may take")
	int timeoutSeconds = 30;

}
