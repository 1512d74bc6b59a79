package org.brasspier.bench.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.brasspier.standins.Deployment;
import org.brasspier.standins.StandInInstance;

/**
 * The events of all daemons, read from their logs and put in the order of time. Stateless
 * and thread-safe.
 */
final class EventTimeline {

	private static final String EVENT_LOGGER = " brasspier.events ";

	/** Events of single requests would drown the others. */
	private static final Pattern REQUEST_EVENT = Pattern.compile("brasspier\\.events \\S* ?3[0-9][0-9] ");

	private EventTimeline() {
	}

	/**
	 * Reads the time line.
	 * @param deployment the deployment
	 * @param since events before this time are left out, as the logs write time
	 * @return a line for each event
	 */
	static List<String> read(Deployment deployment, String since) {
		return deployment.instances()
			.stream()
			.map(StandInInstance::daemon)
			.flatMap((daemon) -> lines(daemon.log()))
			.filter((line) -> line.contains(EVENT_LOGGER) && !REQUEST_EVENT.matcher(line).find())
			.filter((line) -> line.compareTo(since) >= 0)
			.sorted()
			.toList();
	}

	private static Stream<String> lines(Path log) {
		try {
			return Files.readAllLines(log).stream();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
