package org.brasspier.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * Flags that precede the command name. JCommander sets the fields.
 */
final class GlobalFlags {

	@Parameter(names = { "--help", "-h" }, help = true, description = "show this help, or the help of a command")
	boolean help;

	@Parameter(names = "--daemon",
			description = "IP:PORT of a daemon's operator port; several, by comma, are tried in order (or BRASSPIER_DAEMON)")
	List<String> daemonAddresses = new ArrayList<>();

	@Parameter(names = "--secret-file",
			description = "file that contains the operators' secret (or the variable BRASSPIER_OPERATOR_SECRET)")
	String secretFile = "";

	@Parameter(names = "--output", description = "output format, table or json")
	String output = "table";

	@Parameter(names = "--draft", description = "file that stores the draft (default: below $XDG_STATE_HOME)")
	String draftFile = "";

	@Parameter(names = "--timeout-seconds", description = "read and write timeout of one call to a daemon")
	int timeoutSeconds = 30;

}
