package org.brasspier.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * The runs of all orders that began, reconstructed from the servers' records. Immutable
 * and thread-safe.
 */
final class OrderHistory {

	private final Map<String, List<Run>> runsById;

	OrderHistory(List<ServerRecord> records) {
		Map<String, List<Run>> runs = new HashMap<>();
		Map<String, ServerRecord> open = new HashMap<>();
		Map<String, ServerRecord> refused = new HashMap<>();
		for (ServerRecord line : records) {
			String runKey = line.server() + "/" + line.incarnation() + "/" + line.id();
			switch (line.kind()) {
				case BEGAN -> addRun(runs, open.put(runKey, line), Optional.empty());
				case NOT_RUN -> {
					ServerRecord began = open.remove(runKey);
					addRun(runs, began, Optional.of(line));
					refused.put(runKey, (began != null) ? began : line);
				}
				case TOOK_EFFECT -> {
					ServerRecord began = open.remove(runKey);
					addRun(runs, (began != null) ? began : reopen(runs, refused.remove(runKey)), Optional.of(line));
				}
				case STARTED, GRANTED, WITHDRAWN -> {
				}
			}
		}
		open.values().forEach((began) -> addRun(runs, began, Optional.empty()));
		this.runsById = Map.copyOf(runs);
	}

	// A server may get two orders with the same id: the second is shed before it
	// begins, while the first continues and takes effect. The end of the shed order
	// must not hide that effect.
	private static @Nullable ServerRecord reopen(Map<String, List<Run>> runs, @Nullable ServerRecord began) {
		if (began != null) {
			runs.getOrDefault(began.id(), List.of()).removeIf((run) -> run.began().equals(began));
		}
		return began;
	}

	private static void addRun(Map<String, List<Run>> runs, @Nullable ServerRecord began, Optional<ServerRecord> end) {
		if (began != null) {
			runs.computeIfAbsent(began.id(), (id) -> new ArrayList<>()).add(new Run(began, end));
		}
	}

	/**
	 * Returns the runs of a request that may have taken effect.
	 * @param id the request id
	 * @return all runs except those that the server answered as not run
	 */
	List<Run> effective(String id) {
		return this.runsById.getOrDefault(id, List.of())
			.stream()
			.filter((run) -> run.end().isEmpty() || run.end().get().kind() == ServerRecord.Kind.TOOK_EFFECT)
			.toList();
	}

	/**
	 * Returns all runs.
	 * @return the runs, in no particular order
	 */
	List<Run> runs() {
		return this.runsById.values().stream().flatMap(List::stream).toList();
	}

	/**
	 * One run of an order.
	 *
	 * @param began record of its beginning
	 * @param end record of its end, empty if the server was lost while it ran
	 */
	record Run(ServerRecord began, Optional<ServerRecord> end) {

		boolean tookEffect() {
			return this.end.filter((line) -> line.kind() == ServerRecord.Kind.TOOK_EFFECT).isPresent();
		}

	}

}
