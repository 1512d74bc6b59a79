package org.brasspier.standins;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.KeyHash;

/**
 * Computes the service-level metrics on which the renewal of a contract depends, from the
 * records of callers and backend servers. Stateless and thread-safe.
 */
public final class HistoryMetrics {

	private static final long WINDOW_MICROS = 1_000_000;

	private static final int MICROS_PER_MILLI = 1000;

	/**
	 * Requests without a key are grouped into this many equal parts of the hash space.
	 */
	private static final int HASH_SPACE_PARTS = 16;

	private HistoryMetrics() {
	}

	/**
	 * Computes how long each range of a lost server went unanswered.
	 * @param servers the servers' records in the order of time
	 * @param callers the callers' records
	 * @param loss the loss
	 * @return for each range the milliseconds from the loss to the end of the first
	 * request that was sent afterwards and answered; empty if none was
	 */
	public static Map<OwnedRange, OptionalLong> recovery(List<ServerRecord> servers, List<CallerRecord> callers,
			InstanceLoss loss) {
		return ServerRecords.ownedBy(servers, loss.server(), loss.atMicros())
			.stream()
			.collect(Collectors.toMap((owned) -> owned, (owned) -> firstAnswerMillis(callers, owned, loss.atMicros())));
	}

	private static OptionalLong firstAnswerMillis(List<CallerRecord> callers, OwnedRange owned, long sinceMicros) {
		return callers.stream()
			.filter((caller) -> caller.request().service().equals(owned.service())
					&& owned.range().contains(point(caller.request())))
			.flatMap((caller) -> caller.attempts().stream())
			.filter((attempt) -> attempt.answered() && attempt.sentMicros() >= sinceMicros)
			.mapToLong((attempt) -> (attempt.endMicros() - sinceMicros) / MICROS_PER_MILLI)
			.min();
	}

	private static KeyHash point(StandInRequest request) {
		return KeyHash.of((request.key().isEmpty()) ? request.id() : request.key());
	}

	/**
	 * Computes how unevenly the work was spread over the servers of each service.
	 * @param servers the servers' records in the order of time
	 * @param losses servers that were lost and when
	 * @param sinceMicros orders that began earlier are left out
	 * @return the busiest server's working time divided by the mean of all running
	 * servers, averaged over all seconds and services and weighted by their work; 1 is
	 * even
	 */
	public static double imbalance(List<ServerRecord> servers, List<InstanceLoss> losses, long sinceMicros) {
		Map<String, List<OrderHistory.Run>> byWindow = new OrderHistory(servers).runs()
			.stream()
			.filter((run) -> run.tookEffect() && run.began().atMicros() >= sinceMicros)
			.collect(Collectors
				.groupingBy((run) -> run.began().service() + "/" + run.began().atMicros() / WINDOW_MICROS));
		double weighted = 0;
		double weights = 0;
		for (List<OrderHistory.Run> window : byWindow.values()) {
			LongSummaryStatistics busy = busyInWindow(window,
					runningServers(servers, losses, window.getFirst().began()));
			weighted += busy.getMax() / busy.getAverage() * busy.getSum();
			weights += busy.getSum();
		}
		return (weights > 0) ? weighted / weights : 1;
	}

	/**
	 * Computes how unevenly the work was spread over the servers of one service in a
	 * period, by the same definition as PolicyBench. No server may be lost during the
	 * period.
	 * @param servers the servers' records in the order of time
	 * @param fromMicros start of the period
	 * @param untilMicros end of the period
	 * @return the busiest server's busy slot time divided by the mean of all; 1 is even
	 */
	public static double imbalance(List<ServerRecord> servers, long fromMicros, long untilMicros) {
		LongSummaryStatistics busy = busyMicros(servers, fromMicros, untilMicros);
		return (busy.getSum() > 0) ? busy.getMax() / busy.getAverage() : 1;
	}

	/**
	 * Sums up the time for which each server's slots were busy.
	 * @param servers the servers' records in the order of time
	 * @param fromMicros start of the period
	 * @param untilMicros end of the period
	 * @return one value for each server, in microseconds
	 */
	public static LongSummaryStatistics busyMicros(List<ServerRecord> servers, long fromMicros, long untilMicros) {
		Map<String, Long> byServer = new HashMap<>();
		servers.forEach((line) -> byServer.put(line.server(), 0L));
		new OrderHistory(servers).runs().forEach((run) -> {
			long begin = Math.max(fromMicros, run.began().atMicros());
			long end = Math.min(untilMicros, run.end().map(ServerRecord::atMicros).orElse(begin));
			byServer.merge(run.began().server(), Math.max(0, end - begin), Long::sum);
		});
		return byServer.values().stream().mapToLong(Long::longValue).summaryStatistics();
	}

	private static List<String> runningServers(List<ServerRecord> servers, List<InstanceLoss> losses, ServerRecord at) {
		return servers.stream()
			.filter((line) -> line.kind() == ServerRecord.Kind.STARTED && line.service().equals(at.service())
					&& line.atMicros() < at.atMicros())
			.map(ServerRecord::server)
			.distinct()
			.filter((server) -> losses.stream()
				.noneMatch((loss) -> loss.server().equals(server) && loss.atMicros() < at.atMicros()))
			.toList();
	}

	private static LongSummaryStatistics busyInWindow(List<OrderHistory.Run> window, List<String> running) {
		Map<String, Long> byServer = new HashMap<>();
		running.forEach((server) -> byServer.put(server, 0L));
		window.forEach((run) -> byServer.merge(run.began().server(),
				1 + run.end().orElseThrow().atMicros() - run.began().atMicros(), Long::sum));
		return byServer.values().stream().mapToLong(Long::longValue).summaryStatistics();
	}

	/**
	 * Computes how much of the key space changed owner.
	 * @param servers the servers' records in the order of time
	 * @param services number of services
	 * @param sinceMicros grants before this time only set the initial owners
	 * @return the percentage of the key space of all services that was granted to another
	 * owner
	 */
	public static double churnPercent(List<ServerRecord> servers, int services, long sinceMicros) {
		Map<String, String> owners = new HashMap<>();
		double moved = 0;
		for (ServerRecord line : servers) {
			if (line.kind() == ServerRecord.Kind.GRANTED) {
				String before = owners.put(line.service() + "/" + line.range(), line.server());
				boolean ownerChanged = before != null && !before.equals(line.server());
				moved += (ownerChanged && line.atMicros() >= sinceMicros) ? line.keyRange().size() : 0;
			}
		}
		return 100 * moved / KeyHash.SPACE / services;
	}

	/**
	 * Computes how long keys were unavailable to callers.
	 * @param callers the callers' records
	 * @return milliseconds from sending the first unanswered attempt to the next answer,
	 * summed up and divided by the number of keys; a service without keys counts by
	 * sixteenths of the hash space
	 */
	public static double unavailableMillis(List<CallerRecord> callers) {
		Map<String, List<Attempt>> byKey = new TreeMap<>();
		callers.forEach((caller) -> byKey.computeIfAbsent(keyOrPart(caller.request()), (key) -> new ArrayList<>())
			.addAll(caller.attempts()));
		return byKey.values().stream().mapToLong(HistoryMetrics::unavailableMicros).average().orElse(0)
				/ MICROS_PER_MILLI;
	}

	private static String keyOrPart(StandInRequest request) {
		String part = (request.key().isEmpty()) ? "#" + point(request).point() / (KeyHash.SPACE / HASH_SPACE_PARTS)
				: request.key();
		return request.service() + "/" + part;
	}

	private static long unavailableMicros(List<Attempt> attempts) {
		List<Attempt> inOrder = attempts.stream()
			.filter((attempt) -> !attempt.error().equals("TICKET_REQUIRED"))
			.sorted(Comparator.comparingLong(Attempt::endMicros))
			.toList();
		long sum = 0;
		Optional<Attempt> firstFailed = Optional.empty();
		for (Attempt attempt : inOrder) {
			if (!attempt.answered()) {
				firstFailed = firstFailed.or(() -> Optional.of(attempt));
			}
			else if (firstFailed.isPresent()) {
				sum += attempt.endMicros() - firstFailed.get().sentMicros();
				firstFailed = Optional.empty();
			}
		}
		return sum;
	}

	/**
	 * Counts requests by outcome.
	 * @param callers the callers' records
	 * @return the count of each outcome, 0 included
	 */
	public static Map<CallerRecord.Outcome, Long> outcomes(List<CallerRecord> callers) {
		Map<CallerRecord.Outcome, Long> counts = callers.stream()
			.collect(Collectors.groupingBy(CallerRecord::outcome, Collectors.counting()));
		return Stream.of(CallerRecord.Outcome.values())
			.collect(Collectors.toMap((outcome) -> outcome, (outcome) -> counts.getOrDefault(outcome, 0L)));
	}

	/**
	 * Computes the median.
	 * @param values the values, at least one
	 * @return the middle value, or the lower of the two middle values
	 */
	public static long median(long[] values) {
		long[] sorted = values.clone();
		Arrays.sort(sorted);
		return sorted[(sorted.length - 1) / 2];
	}

}
