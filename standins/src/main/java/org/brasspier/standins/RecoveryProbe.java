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
 * Sends requests for a key of each given range periodically until the range is answered,
 * so that the time of the first answer is known to within about 60 ms, the period of the
 * probes. Thread-safe.
 */
public final class RecoveryProbe implements AutoCloseable {

	private static final int PERIOD_MILLIS = 60;

	private static final int WAIT_MILLIS = 120;

	private static final int MAX_CANDIDATES = 10_000_000;

	/**
	 * Smallest range that is probed. The range of a hot key has a single point, in which
	 * no other key can be found by trying.
	 */
	private static final int MIN_POINTS = 1 << 16;

	private final CallerFleet callers;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final Set<OwnedRange> unanswered = ConcurrentHashMap.newKeySet();

	/**
	 * Starts probing.
	 * @param callers callers that send and record the requests
	 * @param ranges the ranges; those with fewer than 65,536 points are left out
	 * @param sharded the services that are divided by key; ranges of other services are
	 * selected by the request id
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
	 * Waits until a request for each probed range has been answered.
	 */
	public void await() {
		Await.until("each range of the lost owner is answered", this.unanswered::isEmpty);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

}
