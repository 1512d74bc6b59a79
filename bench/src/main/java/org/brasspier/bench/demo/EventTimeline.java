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
 * Reads the events of all daemons from their logs, sorted by time. Stateless and
 * thread-safe.
 */
final class EventTimeline {

	private static final String EVENT_LOGGER = " brasspier.events ";

	/**
	 * Matches events of individual requests, which are omitted because their number would
	 * hide all other events.
	 */
	private static final Pattern REQUEST_EVENT = Pattern.compile("brasspier\\.events \\S* ?3[0-9][0-9] ");

	private EventTimeline() {
	}

	/**
	 * Reads the events of a deployment.
	 * @param deployment the deployment
	 * @param since time of the first event to include, in the timestamp format of the
	 * logs
	 * @return one line per event
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
