package org.brasspier.core.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * The requests that were in flight when a backend server was lost. Made for one request
 * that crashes each server that runs it while its caller sends it again: two crashes in
 * the whole deployment, then it is refused wherever it comes, since the marks travel with
 * the ranges. Others that happened to run beside it are marked once and go on. Not
 * thread-safe.
 */
public final class CrashMarks {

	/**
	 * The crashes after which a request is refused. One may be chance: whatever ran
	 * beside the culprit has one as well.
	 */
	public static final int REFUSED_FROM = 2;

	/**
	 * Marks kept. A crash leaves at most as many as the server has slots; ten crashes of
	 * full servers fit. The bound keeps a crash loop from filling memory and the wire.
	 */
	private static final int MOST_MARKS = 256;

	private final Map<String, CrashMark> marks = new HashMap<>();

	/**
	 * Marks a request that was in flight when its backend server was lost.
	 * @param fingerprint the request
	 * @param nowMillis the time, in milliseconds since 1970
	 * @return the mark as it stands now
	 */
	public CrashMark crashed(String fingerprint, long nowMillis) {
		int before = Optional.ofNullable(this.marks.get(fingerprint)).map(CrashMark::crashes).orElse(0);
		CrashMark mark = new CrashMark(fingerprint, before + 1, nowMillis);
		this.marks.put(fingerprint, mark);
		forgetOldest();
		return mark;
	}

	/**
	 * Whether a request must be kept away from backend servers.
	 * @param fingerprint the request
	 * @return its answer; empty if it may run
	 */
	public Optional<Failure> refusal(String fingerprint) {
		return Optional.ofNullable(this.marks.get(fingerprint))
			.filter((mark) -> mark.crashes() >= REFUSED_FROM)
			.map((mark) -> Failure.of(ErrorKind.CRASHED_BACKENDS,
					"%d backend servers were lost while they ran this request".formatted(mark.crashes())));
	}

	/**
	 * Takes in marks of another daemon. Each daemon counts what it saw on top of what it
	 * was told, so the larger count holds both.
	 * @param others the marks
	 */
	public void merge(Collection<CrashMark> others) {
		others.forEach((other) -> this.marks.merge(other.fingerprint(), other,
				(own, told) -> (told.crashes() > own.crashes()) ? told : own));
		forgetOldest();
	}

	/**
	 * All marks, to be passed on.
	 * @return latest first
	 */
	public List<CrashMark> all() {
		return this.marks.values()
			.stream()
			.sorted(Comparator.comparingLong(CrashMark::lastMillis).reversed().thenComparing(CrashMark::fingerprint))
			.toList();
	}

	// Certain culprits are kept longest, then the latest.
	private void forgetOldest() {
		while (this.marks.size() > MOST_MARKS) {
			this.marks.values()
				.stream()
				.min(Comparator.comparingInt(CrashMark::crashes)
					.thenComparingLong(CrashMark::lastMillis)
					.thenComparing(CrashMark::fingerprint))
				.ifPresent((oldest) -> this.marks.remove(oldest.fingerprint()));
		}
	}

}
