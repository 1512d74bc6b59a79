package org.brasspier.standins;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.KeyRange;

/**
 * Reads the histories of callers and backend servers and finds promises that were broken.
 * It knows nothing of what daemons believe. Stateless and thread-safe.
 */
public final class HistoryChecker {

	private HistoryChecker() {
	}

	/**
	 * Checks all that callers and servers recorded.
	 * @param servers the servers' records in the order of time
	 * @param callers the callers' records
	 * @param keyed the services that are divided by key
	 * @return the broken promises, none if all held
	 */
	public static List<Violation> check(List<ServerRecord> servers, List<CallerRecord> callers, Set<String> keyed) {
		List<Violation> found = new ArrayList<>();
		OrderHistory orders = new OrderHistory(servers);
		found.addAll(owners(servers, keyed));
		found.addAll(assignments(servers, keyed));
		found.addAll(runsOnce(orders));
		callers.forEach((caller) -> found.addAll(answers(caller, orders)));
		found.addAll(notRunIsTrue(callers, orders));
		return List.copyOf(found);
	}

	/**
	 * Checks that no daemon went back to an older document.
	 * @param readings what daemons said, in the order of time
	 * @return the broken promises, none if all held
	 */
	public static List<Violation> checkDocuments(List<DocumentReading> readings) {
		Map<String, Long> highest = new HashMap<>();
		List<Violation> found = new ArrayList<>();
		for (DocumentReading reading : readings) {
			long before = highest.getOrDefault(reading.daemon(), 0L);
			if (reading.version() > 0 && reading.version() < before) {
				found.add(new Violation(Violation.Promise.CONFIGURATION_KEPT,
						"%s went from version %d back to %d".formatted(reading.daemon(), before, reading.version())));
			}
			highest.merge(reading.daemon(), reading.version(), Math::max);
		}
		return List.copyOf(found);
	}

	private static List<Violation> owners(List<ServerRecord> servers, Set<String> keyed) {
		Collection<Tenure> tenures = tenures(servers);
		return servers.stream().flatMap((line) -> switch (line.kind()) {
			case BEGAN -> dead(line, tenures, Violation.Promise.NO_DEAD_FENCE);
			case TOOK_EFFECT ->
				Stream.concat(dead(line, tenures, Violation.Promise.ONE_OWNER), shared(line, tenures, keyed));
			case STARTED, GRANTED, WITHDRAWN, NOT_RUN -> Stream.<Violation>empty();
		}).toList();
	}

	private static Collection<Tenure> tenures(List<ServerRecord> servers) {
		Map<String, Tenure> tenures = new HashMap<>();
		servers.stream()
			.filter((line) -> line.kind() == ServerRecord.Kind.BEGAN && line.fence() > 0)
			.forEach((line) -> tenures.putIfAbsent(
					"%s/%s/%d/%s".formatted(line.service(), line.range(), line.fence(), line.server()),
					new Tenure(line.service(), line.keyRange(), line.fence(), line.server(), line.atMicros())));
		return tenures.values();
	}

	// The owner under a higher fence has begun to work before this: the two overlap.
	private static Stream<Violation> dead(ServerRecord line, Collection<Tenure> tenures, Violation.Promise promise) {
		return tenures.stream()
			.filter((tenure) -> tenure.covers(line) && tenure.fence() > line.fence()
					&& tenure.sinceMicros() < line.atMicros())
			.limit(1)
			.map((tenure) -> new Violation(promise,
					"%s by %s under fence %d at %d, though %s worked under fence %d since %d".formatted(line.id(),
							line.server(), line.fence(), line.atMicros(), tenure.server(), tenure.fence(),
							tenure.sinceMicros())));
	}

	private static Stream<Violation> shared(ServerRecord line, Collection<Tenure> tenures, Set<String> keyed) {
		return tenures.stream()
			.filter((tenure) -> keyed.contains(line.service()) && tenure.covers(line) && tenure.fence() == line.fence()
					&& !tenure.server().equals(line.server()))
			.limit(1)
			.map((tenure) -> new Violation(Violation.Promise.ONE_OWNER, "%s by %s under fence %d, which %s has too"
				.formatted(line.id(), line.server(), line.fence(), tenure.server())));
	}

	private static List<Violation> assignments(List<ServerRecord> servers, Set<String> keyed) {
		List<ServerRecord> grants = servers.stream()
			.filter((line) -> line.kind() == ServerRecord.Kind.GRANTED && keyed.contains(line.service()))
			.toList();
		return grants.stream()
			.flatMap((late) -> grants.stream()
				.takeWhile((early) -> early != late)
				.filter((early) -> early.service().equals(late.service()) && early.fence() > late.fence()
						&& !early.server().equals(late.server()) && overlap(early.keyRange(), late.keyRange()))
				.limit(1)
				.map((early) -> new Violation(Violation.Promise.ASSIGNMENT_KEPT,
						"%s was granted to %s under fence %d, then to %s under fence %d".formatted(early.range(),
								early.server(), early.fence(), late.server(), late.fence()))))
			.toList();
	}

	private static boolean overlap(KeyRange one, KeyRange other) {
		return one.low() < other.high() && other.low() < one.high();
	}

	private static List<Violation> runsOnce(OrderHistory orders) {
		Map<String, List<OrderHistory.Run>> byRequest = orders.runs()
			.stream()
			.filter((run) -> run.began().requestClass().equals("posting"))
			.filter((run) -> run.end().isEmpty() || run.tookEffect())
			.collect(Collectors.groupingBy((run) -> withoutRestart(run.began().id())));
		return byRequest.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() > 1)
			.map((entry) -> new Violation(Violation.Promise.RUNS_ONCE, "%s ran %d times: %s".formatted(entry.getKey(),
					entry.getValue().size(),
					entry.getValue().stream().map((run) -> run.began().server() + "@" + run.began().fence()).toList())))
			.toList();
	}

	// A caller that was sure that its posting did not run sent it under a new id.
	private static String withoutRestart(String id) {
		int mark = id.indexOf('~');
		return (mark < 0) ? id : id.substring(0, mark);
	}

	private static List<Violation> answers(CallerRecord caller, OrderHistory orders) {
		List<Violation> found = new ArrayList<>();
		caller.attempts()
			.stream()
			.filter((attempt) -> attempt.answered() && !attempt.own())
			.forEach((attempt) -> found.add(new Violation(Violation.Promise.OWN_ANSWER,
					"the answer to %s was another or not whole".formatted(attempt.id()))));
		caller.attempts()
			.stream()
			.filter((attempt) -> attempt.answered()
					&& orders.effective(attempt.id()).stream().noneMatch(OrderHistory.Run::tookEffect))
			.forEach((attempt) -> found.add(new Violation(Violation.Promise.ANSWERED_HAS_RUN,
					"%s was answered and never took effect".formatted(attempt.id()))));
		return found;
	}

	// Several callers may have sent the same request: what counts is each id's sendings.
	private static List<Violation> notRunIsTrue(List<CallerRecord> callers, OrderHistory orders) {
		Map<String, List<Attempt>> byId = callers.stream()
			.flatMap((caller) -> caller.attempts().stream())
			.sorted(Comparator.comparingLong(Attempt::sentMicros))
			.collect(Collectors.groupingBy(Attempt::id));
		return byId.entrySet()
			.stream()
			.filter((entry) -> ranWhileRefused(entry.getValue(), orders.effective(entry.getKey())))
			.map((entry) -> new Violation(Violation.Promise.NOT_RUN_IS_TRUE,
					"%s was refused as not run, and ran: %s".formatted(entry.getKey(), entry.getValue())))
			.toList();
	}

	private static boolean ranWhileRefused(List<Attempt> sent, List<OrderHistory.Run> runs) {
		long refused = sent.stream().takeWhile(Attempt::notRun).count();
		long until = sent.stream().skip(refused).findFirst().map(Attempt::sentMicros).orElse(Long.MAX_VALUE);
		return refused > 0 && runs.stream().anyMatch((run) -> run.began().atMicros() < until);
	}

	/**
	 * The work of one server under one fence.
	 *
	 * @param service the service
	 * @param range the range
	 * @param fence the fence
	 * @param server the server
	 * @param sinceMicros when its first order began
	 */
	private record Tenure(String service, KeyRange range, long fence, String server, long sinceMicros) {

		boolean covers(ServerRecord line) {
			return this.service.equals(line.service()) && this.range.contains(line.point());
		}

	}

}
