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

/**
 * Shows the events of all daemons in one order that respects cause and effect.
 */
@Parameters(commandDescription = "the events of all daemons in one order")
final class TimelineCommand implements Command {

	private static final Duration PAUSE = Duration.ofMillis(500);

	private static final Comparator<EventsAnswer.Entry> ORDER = Comparator.comparingLong(EventsAnswer.Entry::stamp)
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

	@Parameter(names = "--count", description = "how many of the latest events to show first")
	private int count = 200;

	@Parameter(names = "--follow", description = "go on showing events as they happen")
	private boolean follow;

	@Parameter(names = "--for-seconds", description = "with --follow, end after this time; until Ctrl-C if not given")
	private int forSeconds;

	private final Map<String, Long> lastNumbers = new HashMap<>();

	private final Map<String, Long> lostSaid = new HashMap<>();

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		List<EventsAnswer> answers = read(session);
		List<EventsAnswer.Entry> entries = merge(answers);
		List<EventsAnswer.Entry> latest = entries.subList(Math.max(0, entries.size() - this.count), entries.size());
		List<String> lines = Stream
			.concat(answers.stream().flatMap((answer) -> losses(answer)), latest.stream().map(TimelineCommand::line))
			.toList();
		Report report = new Report(latest, lines);
		return (this.follow) ? follow(session, report) : Either.right(report);
	}

	private List<EventsAnswer> read(Session session) {
		return session.allDaemons()
			.stream()
			.flatMap((daemon) -> session.client()
				.get(daemon, path(this.lastNumbers.getOrDefault(daemon, 0L)), EventsAnswer.class)
				.peekLeft((error) -> session.terminal().progress(daemon + ": " + error.detail()))
				.peek((answer) -> this.lastNumbers.put(daemon, answer.lastNumber()))
				.toJavaStream())
			.toList();
	}

	private String path(long after) {
		Map<String, String> filters = Map.of("key", this.key, "range", this.range, "request", this.request, "instance",
				this.instance, "kind", this.kind);
		return "/v1/events?after=" + after
				+ filters.entrySet()
					.stream()
					.filter((filter) -> !filter.getValue().isEmpty())
					.map((filter) -> "&" + filter.getKey() + "=" + OwnerCommand.encode(filter.getValue()))
					.collect(Collectors.joining());
	}

	static List<EventsAnswer.Entry> merge(List<EventsAnswer> answers) {
		return answers.stream().flatMap((answer) -> answer.events().stream()).sorted(ORDER).toList();
	}

	private Stream<String> losses(EventsAnswer answer) {
		long before = this.lostSaid.getOrDefault(answer.instance(), 0L);
		this.lostSaid.put(answer.instance(), answer.lost());
		Stream<String> lost = (answer.lost() > before)
				? Stream
					.of("# %s lost %d events: its ring was full".formatted(answer.instance(), answer.lost() - before))
				: Stream.empty();
		Stream<String> pushedOut = (answer.pushedOutUntil() > 0 && before == 0 && !this.follow)
				? Stream.of("# %s keeps only its latest events; some up to number %d are gone"
					.formatted(answer.instance(), answer.pushedOutUntil()))
				: Stream.empty();
		return Stream.concat(lost, pushedOut);
	}

	private static String line(EventsAnswer.Entry entry) {
		return "%s %-14s %d %s %s %s"
			.formatted(Instant.ofEpochMilli(entry.millis()), entry.instance(), entry.event(), entry.kind(),
					entry.subject(), entry.detail())
			.stripTrailing();
	}

	private Either<ErrorAnswer, Report> follow(Session session, Report first) {
		first.lines().forEach(session.terminal().out()::println);
		long end = System.nanoTime() + Duration.ofSeconds(this.forSeconds).toNanos();
		List<EventsAnswer.Entry> held = new ArrayList<>();
		while (this.forSeconds == 0 || System.nanoTime() - end < 0) {
			LockSupport.parkNanos(PAUSE.toNanos());
			List<EventsAnswer> answers = read(session);
			answers.stream().flatMap((answer) -> losses(answer)).forEach(session.terminal().out()::println);
			// What a round brought waits for the next one, since another daemon may still
			// tell of something earlier.
			long roundBegan = System.currentTimeMillis() - PAUSE.toMillis();
			held.addAll(merge(answers));
			held.sort(ORDER);
			List<EventsAnswer.Entry> due = held.stream().filter((entry) -> entry.millis() < roundBegan).toList();
			print(session, due);
			held.removeAll(due);
		}
		print(session, held);
		return Either.right(Report.of(new Followed(true)));
	}

	private static void print(Session session, List<EventsAnswer.Entry> entries) {
		entries.forEach((entry) -> session.terminal().out().println(line(entry)));
		session.terminal().out().flush();
	}

	/**
	 * The end of following, for programs.
	 *
	 * @param followed always true
	 */
	private record Followed(boolean followed) {

	}

}
