package org.brasspier.daemon.mesh;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a backend server states about itself in an answer. Immutable and thread-safe.
 *
 * @param perSecond the requests per second that it takes from all instances together, at
 * least 0; empty if it names no limit
 * @param leaving whether it is leaving, so that it takes no new requests
 * @param malformed a limit that can't be read, and then counts neither as a limit nor as
 * the end of one
 */
public record ServerNotice(OptionalDouble perSecond, boolean leaving, Optional<String> malformed) {

	/** The notice of a server that states nothing. */
	public static final ServerNotice NONE = new ServerNotice(OptionalDouble.empty(), false, Optional.empty());

}
