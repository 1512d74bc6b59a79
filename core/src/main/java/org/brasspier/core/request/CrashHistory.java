package org.brasspier.core.request;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ownership.CrashMark;

/**
 * Counts how often a request was running when its backend server was lost. After two such
 * losses the request is refused.
 *
 * <p>
 * It guards against a request that crashes each backend server that runs it and whose
 * caller retries it, which would take down the whole service. The limit is two and not
 * one because all requests that ran together with the culprit are suspect as well, and a
 * single loss does not show which one caused it. Harmless requests are cleared when they
 * succeed. Marks move with the ranges, so the count covers all owners. Not thread-safe.
 */
public final class CrashHistory {

	/** The number of losses from which on a request is refused. */
	public static final int MAX_CRASHES = 2;

	/**
	 * Twenty losses with 17 slots in use each stay below this even if no suspect is ever
	 * cleared.
	 */
	private static final int MAX_MARKS = 512;

	/** Ordered by latest change. */
	private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

	/**
	 * Records that a request was running when its backend server was lost.
	 * @param fingerprint the request's fingerprint, see
	 * {@link CallerRequest#crashFingerprint()}
	 * @param point the point of its key or id
	 * @return the number of losses that it was part of so far
	 */
	public int recordCrash(long fingerprint, KeyHash point) {
		int crashes = crashCount(fingerprint) + 1;
		put(fingerprint, new Suspect(crashes, Optional.of(point)));
		return crashes;
	}

	/**
	 * Records that a request succeeded, so that it is no longer suspect.
	 * @param fingerprint the request's fingerprint
	 */
	public void recordSuccess(long fingerprint) {
		this.suspects.remove(fingerprint);
	}

	/**
	 * Merges the counts of earlier owners. The higher count is kept, since each owner
	 * continues from the count that it received.
	 * @param marks the marks of earlier owners
	 */
	public void merge(List<CrashMark> marks) {
		marks.forEach((mark) -> {
			Optional<KeyHash> point = Optional.ofNullable(this.suspects.get(mark.crashFingerprint()))
				.flatMap(Suspect::point);
			put(mark.crashFingerprint(),
					new Suspect(Math.max(mark.crashes(), crashCount(mark.crashFingerprint())), point));
		});
	}

	/**
	 * Returns the number of losses that a request was part of.
	 * @param fingerprint the request's fingerprint
	 * @return 0 if it is not suspect
	 */
	public int crashCount(long fingerprint) {
		Suspect suspect = this.suspects.get(fingerprint);
		return (suspect != null) ? suspect.crashes : 0;
	}

	/**
	 * Returns whether nothing is suspect, which is the usual case.
	 * @return true if there is no mark
	 */
	public boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	/**
	 * Returns the marks that move with a range to its next owner: those of its points and
	 * those that were received from earlier owners, highest counts first, then latest
	 * first.
	 * @param range the range
	 * @return at most {@link CrashMark#MAX_PER_RANGE}
	 */
	public List<CrashMark> marksFor(KeyRange range) {
		return this.suspects.reversed()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().point.map(range::contains).orElse(true))
			.map((entry) -> new CrashMark(entry.getKey(), entry.getValue().crashes))
			.sorted(Comparator.comparingInt(CrashMark::crashes).reversed())
			.limit(CrashMark.MAX_PER_RANGE)
			.toList();
	}

	// Requests that are already refused are evicted last; of the others, the oldest is
	// evicted first.
	private void put(long fingerprint, Suspect suspect) {
		this.suspects.remove(fingerprint);
		this.suspects.put(fingerprint, suspect);
		if (this.suspects.size() > MAX_MARKS) {
			this.suspects.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().crashes < MAX_CRASHES)
				.findFirst()
				.map(Map.Entry::getKey)
				.or(() -> Optional.of(this.suspects.firstEntry().getKey()))
				.ifPresent(this.suspects::remove);
		}
	}

	private record Suspect(int crashes, Optional<KeyHash> point) {

	}

}
