package org.brasspier.standins;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.brasspier.core.KeyHash;

/**
 * Asks for a key of each of some ranges, again and again, until each has been answered:
 * so that the time of the first answer is known to some milliseconds. Thread-safe.
 */
public final class RecoveryProbe implements AutoCloseable {

	private static final int PERIOD_MILLIS = 60;

	private static final int WAIT_MILLIS = 120;

	private static final int MAX_CANDIDATES = 10_000_000;

	/** A hot key's range has one point; no other key is found in it by trying. */
	private static final int MIN_POINTS = 1 << 16;

	private final CallerFleet callers;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final Set<OwnedRange> unanswered = ConcurrentHashMap.newKeySet();

	/**
	 * Begins to ask.
	 * @param callers who sends and records the requests
	 * @param ranges the ranges; those of a few points are left out
	 * @param keyed the services that are divided by key; others are asked by request id
	 */
	public RecoveryProbe(CallerFleet callers, List<OwnedRange> ranges, Set<String> sharded) {
		this.callers = callers;
		List<OwnedRange> probed = ranges.stream().filter((range) -> range.range().size() >= MIN_POINTS).toList();
		this.unanswered.addAll(probed);
		probed.forEach((range) -> {
			boolean byKey = sharded.contains(range.service());
			String key = (byKey) ? "%s".formatted(findKeyIn(range, "recovery-")) : "";
			this.timer.scheduleAtFixedRate(() -> sendProbe(range, key), 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	private static String findKeyIn(OwnedRange range, String prefix) {
		return IntStream.range(0, MAX_CANDIDATES)
			.mapToObj((i) -> prefix + i)
			.filter((key) -> range.range().contains(KeyHash.of(key)))
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("no key was found in " + range));
	}

	private void sendProbe(OwnedRange range, String key) {
		if (!this.unanswered.contains(range)) {
			return;
		}
		String id = (key.isEmpty()) ? findKeyIn(range, this.callers.newId() + "-") : this.callers.newId();
		this.callers.call(StandInRequest.lookup(range.service(), key, id).withWaitMillis(WAIT_MILLIS))
			.thenAccept((done) -> {
				if (done.outcome() == CallerRecord.Outcome.ANSWERED) {
					this.unanswered.remove(range);
				}
			});
	}

	/**
	 * Waits until each range has been answered.
	 */
	public void await() {
		Await.until("each range of the lost owner is answered", this.unanswered::isEmpty);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

}
