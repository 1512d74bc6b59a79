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
 * losses it is refused.
 *
 * <p>
 * The harm it prevents: a request that crashes each backend server that runs it, and
 * whose caller sends it again, takes down the whole service. Why two and not one: all
 * that ran beside the culprit is suspect too, and one loss tells nothing of which it was.
 * Innocent requests clear themselves by ending well. Marks travel with the ranges, so the
 * count is over all owners. Not thread-safe.
 */
public final class CrashHistory {

	/** So many losses a request may be part of; from then on it is refused. */
	public static final int MAX_CRASHES = 2;

	/**
	 * Twenty losses, each with 17 slots in use, stay below this even if no suspect ever
	 * clears itself.
	 */
	private static final int MAX_MARKS = 512;

	/** In the order of their latest change. */
	private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

	/**
	 * A request was running when its backend server was lost.
	 * @param mark the request's mark, see {@link CallerRequest#crashFingerprint()}
	 * @param point the point of its key or id
	 * @return how many losses it was part of by now
	 */
	public int recordCrash(long mark, KeyHash point) {
		int crashes = crashCount(mark) + 1;
		put(mark, new Suspect(crashes, Optional.of(point)));
		return crashes;
	}

	/**
	 * A request ended well; it is no longer suspect.
	 * @param mark the request's mark
	 */
	public void recordSuccess(long mark) {
		this.suspects.remove(mark);
	}

	/**
	 * Takes over what earlier owners counted. The higher count holds, since each owner
	 * counts on from what it was told.
	 * @param marks the earlier owners' marks
	 */
	public void merge(List<CrashMark> marks) {
		marks.forEach((mark) -> {
			Optional<KeyHash> point = Optional.ofNullable(this.suspects.get(mark.requestHash()))
				.flatMap(Suspect::point);
			put(mark.requestHash(), new Suspect(Math.max(mark.crashes(), crashCount(mark.requestHash())), point));
		});
	}

	/**
	 * How many losses a request was part of.
	 * @param mark the request's mark
	 * @return 0 if it is not suspect
	 */
	public int crashCount(long mark) {
		Suspect suspect = this.suspects.get(mark);
		return (suspect != null) ? suspect.crashes : 0;
	}

	/**
	 * Whether nothing is suspect, as nearly always.
	 * @return true if there is no mark
	 */
	public boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	/**
	 * The marks that go with a range to its next owner: those of its points and those
	 * that came from elsewhere; the highest counts first, then the latest.
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

	// Certain culprits are kept longest, then the latest.
	private void put(long mark, Suspect suspect) {
		this.suspects.remove(mark);
		this.suspects.put(mark, suspect);
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
