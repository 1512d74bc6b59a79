package org.brasspier.cli.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.EventsAnswer;
import org.brasspier.wire.operator.OperatorJson;

/**
 * Shows the events of all daemons merged in causal order.
 */
@Parameters(commandDescription = "show the events of all daemons merged in causal order")
final class TimelineCommand implements Command {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	private static final Comparator<EventsAnswer.Entry> CAUSAL_ORDER = Comparator
		.comparingLong(EventsAnswer.Entry::stamp)
		.thenComparing(EventsAnswer.Entry::instance)
		.thenComparingLong(EventsAnswer.Entry::number);

	@Parameter(names = "--key", description = "only events of this key and its range")
	private String key = "";

	@Parameter(names = "--range", description = "only events of this range, LOW-HIGH in hexadecimal")
	private String range = "";

	@Parameter(names = "--request", description = "only events of the request with this id")
	private String request = "";

	@Parameter(names = "--instance", description = "only events about this instance")
	private String instance = "";

	@Parameter(names = "--kind", description = "only events of this kind, by name or number")
	private String kind = "";

	@Parameter(names = "--count", description = "number of latest events to show first")
	private int count = 200;

	@Parameter(names = "--follow", description = "continue to show events as they occur")
	private boolean follow;

	@Parameter(names = "--for-seconds", description = "with --follow, stop after this time (default: run until Ctrl-C)")
	private int forSeconds;

	private final Map<String, Long> lastNumberByDaemon = new HashMap<>();

	private final Map<String, Long> reportedLossesByInstance = new HashMap<>();

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		List<EventsAnswer> answers = fetchEvents(session);
		List<EventsAnswer.Entry> entries = merge(answers);
		List<EventsAnswer.Entry> latest = entries.subList(Math.max(0, entries.size() - this.count), entries.size());
		List<MissingEvents> missingEvents = answers.stream().flatMap((answer) -> newlyMissingEvents(answer)).toList();
		if (this.follow) {
			printEvents(session, missingEvents, latest);
			return followEvents(session);
		}
		List<String> lines = Stream
			.concat(missingEvents.stream().map(MissingEvents::line), latest.stream().map(TimelineCommand::formatEvent))
			.toList();
		return Either.right(new Report(new TimelineMessage(missingEvents, latest), lines));
	}

	private List<EventsAnswer> fetchEvents(Session session) {
		return session.allDaemonAddresses()
			.stream()
			.flatMap((daemon) -> session.client()
				.get(daemon, eventsPath(this.lastNumberByDaemon.getOrDefault(daemon, 0L)), EventsAnswer.class)
				.peekLeft((error) -> session.terminal().printProgress(daemon + ": " + error.detail()))
				.peek((answer) -> this.lastNumberByDaemon.put(daemon, answer.lastNumber()))
				.toJavaStream())
			.toList();
	}

	private String eventsPath(long afterNumber) {
		Map<String, String> filters = Map.of("key", this.key, "range", this.range, "request", this.request, "instance",
				this.instance, "kind", this.kind);
		return "/v1/events?after=" + afterNumber
				+ filters.entrySet()
					.stream()
					.filter((filter) -> !filter.getValue().isEmpty())
					.map((filter) -> "&" + filter.getKey() + "=" + OwnerCommand.urlEncode(filter.getValue()))
					.collect(Collectors.joining());
	}

	static List<EventsAnswer.Entry> merge(List<EventsAnswer> answers) {
		return answers.stream().flatMap((answer) -> answer.events().stream()).sorted(CAUSAL_ORDER).toList();
	}

	Stream<MissingEvents> newlyMissingEvents(EventsAnswer answer) {
		long lossesReportedBefore = this.reportedLossesByInstance.getOrDefault(answer.instance(), 0L);
		this.reportedLossesByInstance.put(answer.instance(), answer.lost());
		boolean shouldReportEvicted = lossesReportedBefore == 0 && !this.follow;
		MissingEvents missing = new MissingEvents(answer.instance(), Math.max(0, answer.lost() - lossesReportedBefore),
				(shouldReportEvicted) ? answer.pushedOutUntil() : 0);
		return (missing.isEmpty()) ? Stream.empty() : Stream.of(missing);
	}

	private static String formatEvent(EventsAnswer.Entry entry) {
		return "%s %-14s %d %s %s %s"
			.formatted(Instant.ofEpochMilli(entry.millis()), entry.instance(), entry.event(), entry.kind(),
					entry.subject(), entry.detail())
			.stripTrailing();
	}

	private Either<ErrorAnswer, Report> followEvents(Session session) {
		long deadlineNanos = System.nanoTime() + Duration.ofSeconds(this.forSeconds).toNanos();
		List<EventsAnswer.Entry> pending = new ArrayList<>();
		while (this.forSeconds == 0 || System.nanoTime() - deadlineNanos < 0) {
			LockSupport.parkNanos(POLL_INTERVAL.toNanos());
			List<EventsAnswer> answers = fetchEvents(session);
			List<MissingEvents> missingEvents = answers.stream()
				.flatMap((answer) -> newlyMissingEvents(answer))
				.toList();
			// Delays the events of a poll until the next one, because another daemon may
			// still report an earlier event.
			long releaseBeforeMillis = System.currentTimeMillis() - POLL_INTERVAL.toMillis();
			pending.addAll(merge(answers));
			pending.sort(CAUSAL_ORDER);
			List<EventsAnswer.Entry> due = pending.stream()
				.filter((entry) -> entry.millis() < releaseBeforeMillis)
				.toList();
			printEvents(session, missingEvents, due);
			pending.removeAll(due);
		}
		printEvents(session, List.of(), pending);
		return Either.right(Report.of(new FollowMessage(true)));
	}

	// Prints one line per entry in both formats, so that programs can parse JSON as a
	// stream.
	private static void printEvents(Session session, List<MissingEvents> missingEvents,
			List<EventsAnswer.Entry> entries) {
		missingEvents.forEach((missing) -> session.terminal()
			.out()
			.println((session.jsonOutput()) ? OperatorJson.write(missing) : missing.line()));
		entries.forEach((entry) -> session.terminal()
			.out()
			.println((session.jsonOutput()) ? OperatorJson.write(entry) : formatEvent(entry)));
		session.terminal().out().flush();
	}

	/**
	 * JSON output: the time line.
	 *
	 * @param losses events missing from the time line
	 * @param events events in causal order
	 */
	private record TimelineMessage(List<MissingEvents> losses, List<EventsAnswer.Entry> events) {

	}

	/**
	 * Events missing from the time line of one daemon.
	 *
	 * @param instance instance that the daemon runs on
	 * @param lost number of events dropped because the ring buffer was full
	 * @param pushedOutUntil highest number of an event evicted by newer ones, 0 if none
	 * was
	 */
	record MissingEvents(String instance, long lost, long pushedOutUntil) {

		boolean isEmpty() {
			return this.lost == 0 && this.pushedOutUntil == 0;
		}

		String line() {
			String ringFullText = (this.lost > 0) ? " lost %d events: its ring was full".formatted(this.lost) : "";
			String evictedText = (this.pushedOutUntil > 0)
					? " keeps only its latest events; some up to number %d are gone".formatted(this.pushedOutUntil)
					: "";
			return "# " + this.instance + ringFullText + ((ringFullText.isEmpty() || evictedText.isEmpty()) ? "" : ";")
					+ evictedText;
		}

	}

	/**
	 * JSON output: the end of {@code --follow}.
	 *
	 * @param followed always true
	 */
	private record FollowMessage(boolean followed) {

	}

}
