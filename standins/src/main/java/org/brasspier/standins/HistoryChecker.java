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
 * Checks the histories of callers and backend servers for violated invariants. It uses no
 * state of the daemons, so that it can't share their errors. Stateless and thread-safe.
 */
public final class HistoryChecker {

	private HistoryChecker() {
	}

	/**
	 * Checks all records of callers and servers.
	 * @param servers the servers' records in the order of time
	 * @param callers the callers' records
	 * @param sharded the services that are divided by key
	 * @return the violations, empty if all invariants held
	 */
	public static List<Violation> check(List<ServerRecord> servers, List<CallerRecord> callers, Set<String> sharded) {
		List<Violation> found = new ArrayList<>();
		OrderHistory orders = new OrderHistory(servers);
		found.addAll(findOwnershipViolations(servers, sharded));
		found.addAll(findRevertedAssignments(servers, sharded));
		found.addAll(findRepeatedPostings(orders));
		callers.forEach((caller) -> found.addAll(findWrongAnswers(caller, orders)));
		found.addAll(findFalseNotRun(callers, orders));
		return List.copyOf(found);
	}

	/**
	 * Checks that no daemon reverted to an older version of the configuration document.
	 * @param reports the versions that daemons reported, in the order of time
	 * @return the violations, empty if all invariants held
	 */
	public static List<Violation> checkDocuments(List<DocumentVersionReport> reports) {
		Map<String, Long> highest = new HashMap<>();
		List<Violation> found = new ArrayList<>();
		for (DocumentVersionReport report : reports) {
			long before = highest.getOrDefault(report.daemon(), 0L);
			if (report.version() > 0 && report.version() < before) {
				found.add(new Violation(Violation.Invariant.CONFIGURATION_KEPT,
						"%s went from version %d back to %d".formatted(report.daemon(), before, report.version())));
			}
			highest.merge(report.daemon(), report.version(), Math::max);
		}
		return List.copyOf(found);
	}

	private static List<Violation> findOwnershipViolations(List<ServerRecord> servers, Set<String> sharded) {
		Collection<Tenure> tenures = tenures(servers);
		return servers.stream().flatMap((line) -> switch (line.kind()) {
			case BEGAN -> findHigherFence(line, tenures, Violation.Invariant.NO_STALE_FENCE);
			case TOOK_EFFECT -> Stream.concat(findHigherFence(line, tenures, Violation.Invariant.ONE_OWNER),
					findSharedFence(line, tenures, sharded));
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

	// Finds an owner with a higher fence that began to run orders before this record:
	// the two owners overlap.
	private static Stream<Violation> findHigherFence(ServerRecord line, Collection<Tenure> tenures,
			Violation.Invariant invariant) {
		return tenures.stream()
			.filter((tenure) -> tenure.covers(line) && tenure.fence() > line.fence()
					&& tenure.sinceMicros() < line.atMicros())
			.limit(1)
			.map((tenure) -> new Violation(invariant,
					"%s by %s under fence %d at %d, though %s ran orders under fence %d since %d".formatted(line.id(),
							line.server(), line.fence(), line.atMicros(), tenure.server(), tenure.fence(),
							tenure.sinceMicros())));
	}

	private static Stream<Violation> findSharedFence(ServerRecord line, Collection<Tenure> tenures,
			Set<String> sharded) {
		return tenures.stream()
			.filter((tenure) -> sharded.contains(line.service()) && tenure.covers(line)
					&& tenure.fence() == line.fence() && !tenure.server().equals(line.server()))
			.limit(1)
			.map((tenure) -> new Violation(Violation.Invariant.ONE_OWNER, "%s by %s under fence %d, which %s holds too"
				.formatted(line.id(), line.server(), line.fence(), tenure.server())));
	}

	private static List<Violation> findRevertedAssignments(List<ServerRecord> servers, Set<String> sharded) {
		List<ServerRecord> grants = servers.stream()
			.filter((line) -> line.kind() == ServerRecord.Kind.GRANTED && sharded.contains(line.service()))
			.toList();
		return grants.stream()
			.flatMap((later) -> grants.stream()
				.takeWhile((earlier) -> earlier != later)
				.filter((earlier) -> earlier.service().equals(later.service()) && earlier.fence() > later.fence()
						&& !earlier.server().equals(later.server()) && overlap(earlier.keyRange(), later.keyRange()))
				.limit(1)
				.map((earlier) -> new Violation(Violation.Invariant.ASSIGNMENT_KEPT,
						"%s was granted to %s under fence %d, then to %s under fence %d".formatted(earlier.range(),
								earlier.server(), earlier.fence(), later.server(), later.fence()))))
			.toList();
	}

	private static boolean overlap(KeyRange one, KeyRange other) {
		return one.low() < other.high() && other.low() < one.high();
	}

	private static List<Violation> findRepeatedPostings(OrderHistory orders) {
		Map<String, List<OrderHistory.Run>> byRequest = orders.runs()
			.stream()
			.filter((run) -> run.began().requestClass().equals("posting"))
			.filter((run) -> run.end().isEmpty() || run.tookEffect())
			.collect(Collectors.groupingBy((run) -> withoutResendSuffix(run.began().id())));
		return byRequest.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() > 1)
			.map((entry) -> new Violation(Violation.Invariant.RUNS_ONCE, "%s ran %d times: %s".formatted(entry.getKey(),
					entry.getValue().size(),
					entry.getValue().stream().map((run) -> run.began().server() + "@" + run.began().fence()).toList())))
			.toList();
	}

	// A caller that is certain that its posting did not run resends it under a new id:
	// the old one, "~" and a suffix.
	private static String withoutResendSuffix(String id) {
		int separator = id.indexOf('~');
		return (separator < 0) ? id : id.substring(0, separator);
	}

	private static List<Violation> findWrongAnswers(CallerRecord caller, OrderHistory orders) {
		List<Violation> found = new ArrayList<>();
		caller.attempts()
			.stream()
			.filter((attempt) -> attempt.answered() && !attempt.matchesRequest())
			.forEach((attempt) -> found.add(new Violation(Violation.Invariant.OWN_ANSWER,
					"the answer to %s belongs to another request or is incomplete".formatted(attempt.id()))));
		caller.attempts()
			.stream()
			.filter((attempt) -> attempt.answered()
					&& orders.effective(attempt.id()).stream().noneMatch(OrderHistory.Run::tookEffect))
			.forEach((attempt) -> found.add(new Violation(Violation.Invariant.ANSWERED_HAS_RUN,
					"%s was answered and never took effect".formatted(attempt.id()))));
		return found;
	}

	// Several callers may have sent the same request, so attempts are grouped by
	// request id and not by caller.
	private static List<Violation> findFalseNotRun(List<CallerRecord> callers, OrderHistory orders) {
		Map<String, List<Attempt>> byId = callers.stream()
			.flatMap((caller) -> caller.attempts().stream())
			.sorted(Comparator.comparingLong(Attempt::sentMicros))
			.collect(Collectors.groupingBy(Attempt::id));
		return byId.entrySet()
			.stream()
			.filter((entry) -> ranBeforeFirstOtherAttempt(entry.getValue(), orders.effective(entry.getKey())))
			.map((entry) -> new Violation(Violation.Invariant.NOT_RUN_IS_TRUE,
					"%s was refused as not run, and ran: %s".formatted(entry.getKey(), entry.getValue())))
			.toList();
	}

	private static boolean ranBeforeFirstOtherAttempt(List<Attempt> sent, List<OrderHistory.Run> runs) {
		long refusedCount = sent.stream().takeWhile(Attempt::notRun).count();
		long untilMicros = sent.stream().skip(refusedCount).findFirst().map(Attempt::sentMicros).orElse(Long.MAX_VALUE);
		return refusedCount > 0 && runs.stream().anyMatch((run) -> run.began().atMicros() < untilMicros);
	}

	/**
	 * The period in which one server runs orders under one fence.
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
