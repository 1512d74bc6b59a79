package org.brasspier.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongToDoubleFunction;

/**
 * What a number of crashes shows about the requests that were part of them, identified by
 * one kind of hash. A request is blocked once it was part of two or more crashes that
 * have no other suspect in common, or of many crashes whatever else was part of them. The
 * block ends after a time that grows with the number of crashes, so that a harmless
 * request gets another chance, and a request that crashes servers crashes few more.
 * Immutable and thread-safe.
 */
final class CrashEvidence {

	/** Crashes after which a request is blocked, whatever else was part of them. */
	private static final int MAX_CRASHES_WITH_OTHERS = 5;

	/** Crashes after which a request is blocked if it alone was part of all of them. */
	private static final int MIN_CRASHES_ALONE = 2;

	/** Mean duration of the first block. */
	private static final long FIRST_BLOCK_NANOS = Duration.ofSeconds(30).toNanos();

	/** By how much the next block is longer than the one before. */
	private static final int BLOCK_GROWTH = 4;

	/** After this number of blocks a request is blocked for as long as crashes count. */
	private static final int MAX_TRIALS = 2;

	private final Map<Long, List<Crash>> crashes;

	private final Map<Long, Block> blocked;

	private final Set<Long> explained;

	private CrashEvidence(Map<Long, List<Crash>> crashes, Map<Long, Block> blocked, Set<Long> explained) {
		this.crashes = crashes;
		this.blocked = blocked;
		this.explained = explained;
	}

	/**
	 * Evaluates crashes.
	 * @param all the crashes, each with its remaining suspects
	 * @param exonerated the hashes of requests that did not cause some crash that they
	 * were part of
	 * @return the evidence
	 */
	static CrashEvidence of(List<Crash> all, Set<Long> exonerated) {
		Map<Long, List<Crash>> crashes = new HashMap<>();
		all.forEach((crash) -> crash.suspects()
			.forEach((request) -> crashes.computeIfAbsent(request, (key) -> new ArrayList<>()).add(crash)));
		List<Map.Entry<Long, List<Crash>>> likeliestFirst = crashes.entrySet()
			.stream()
			.filter((entry) -> shouldBlock(entry.getValue()))
			.sorted(Comparator.<Map.Entry<Long, List<Crash>>>comparingInt((entry) -> -entry.getValue().size())
				.thenComparing((entry) -> exonerated.contains(entry.getKey()))
				.thenComparing(Map.Entry::getKey))
			.toList();
		return of(crashes, likeliestFirst);
	}

	// A harmless request that is often sent can be the only one that ran beside each of
	// two culprits. So a request is not blocked if others that are more likely to be the
	// cause explain all of its crashes.
	private static CrashEvidence of(Map<Long, List<Crash>> crashes, List<Map.Entry<Long, List<Crash>>> likeliestFirst) {
		Map<Long, Block> blocked = new HashMap<>();
		Set<Long> explained = new HashSet<>();
		likeliestFirst.forEach((entry) -> {
			List<Long> ids = entry.getValue().stream().map(Crash::id).toList();
			if (explained.addAll(ids)) {
				blocked.put(entry.getKey(), Block.after(entry.getValue()));
			}
		});
		return new CrashEvidence(crashes, blocked, explained);
	}

	private static boolean shouldBlock(List<Crash> crashes) {
		return crashes.size() >= MAX_CRASHES_WITH_OTHERS
				|| crashes.size() >= MIN_CRASHES_ALONE && isAloneInCommon(crashes);
	}

	private static boolean isAloneInCommon(List<Crash> crashes) {
		Set<Long> common = new HashSet<>(
				crashes.stream().map(Crash::suspects).min(Comparator.comparingInt(Set::size)).orElseThrow());
		crashes.forEach((crash) -> common.retainAll(crash.suspects()));
		return common.size() == 1;
	}

	/**
	 * Returns whether a blocked request was part of a crash.
	 * @param crash the id of the crash
	 * @return true if one was
	 */
	boolean explains(long crash) {
		return this.explained.contains(crash);
	}

	boolean isSuspect(long request) {
		return this.crashes.containsKey(request);
	}

	int crashCount(long request) {
		return this.crashes.getOrDefault(request, List.of()).size();
	}

	/**
	 * Returns whether a request is blocked.
	 * @param request the hash of the request
	 * @param jitter shortens or extends the block, from 0 to 1; it differs between
	 * instances, so that one of them tries the request first
	 * @param nowNanos the current time
	 * @return true if it is
	 */
	boolean isBlocked(long request, LongToDoubleFunction jitter, long nowNanos) {
		Block block = this.blocked.get(request);
		return block != null && nowNanos - block.latestNanos < block.nanos(jitter.applyAsDouble(request));
	}

	Set<Long> blocked() {
		return this.blocked.keySet();
	}

	/**
	 * A crash.
	 *
	 * @param id its id
	 * @param suspects the hashes of the requests that may have caused it
	 * @param knownNanos since when it is known
	 */
	record Crash(long id, Set<Long> suspects, long knownNanos) {
	}

	/**
	 * A block.
	 *
	 * @param number how many blocks of the request came before
	 * @param latestNanos since when the latest crash is known
	 */
	private record Block(int number, long latestNanos) {

		static Block after(List<Crash> crashes) {
			int number = isAloneInCommon(crashes) ? crashes.size() - MIN_CRASHES_ALONE
					: crashes.size() - MAX_CRASHES_WITH_OTHERS + 1;
			return new Block(number, crashes.stream().mapToLong(Crash::knownNanos).max().orElseThrow());
		}

		long nanos(double jitter) {
			if (this.number >= MAX_TRIALS) {
				return CrashSuspects.RETENTION.toNanos();
			}
			return (long) (FIRST_BLOCK_NANOS * Math.pow(BLOCK_GROWTH, this.number) * (0.5 + jitter));
		}

	}

}
