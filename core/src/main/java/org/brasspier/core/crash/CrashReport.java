package org.brasspier.core.crash;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.keys.BackendIncarnation;

/**
 * The requests that a backend server was running when it crashed. Immutable and
 * thread-safe.
 *
 * @param id identifies the crash; an incarnation may crash several times, since a server
 * can restart under its id and crash again before it has sent a heartbeat
 * @param incarnation the server's incarnation, as known from its latest heartbeat
 * @param requests the requests, at most {@link #MAX_REQUESTS}; empty in reports of
 * earlier builds
 * @param untagged the requests as earlier builds identify them, at most
 * {@link #MAX_UNTAGGED}
 */
public record CrashReport(long id, BackendIncarnation incarnation, Set<RequestFingerprint> requests,
		Set<Long> untagged) {

	/** The maximum number of requests, many times the slots of a backend server. */
	public static final int MAX_REQUESTS = 256;

	/** The maximum number that earlier builds accept. */
	public static final int MAX_UNTAGGED = 64;

	/**
	 * Copies the sets.
	 * @throws IllegalArgumentException if there are too many requests
	 */
	public CrashReport {
		requests = Set.copyOf(requests);
		untagged = Set.copyOf(untagged);
		if (requests.size() > MAX_REQUESTS || untagged.size() > MAX_UNTAGGED) {
			throw new IllegalArgumentException("a report has %d and %d requests, at most %d and %d are allowed"
				.formatted(requests.size(), untagged.size(), MAX_REQUESTS, MAX_UNTAGGED));
		}
	}

	/**
	 * Creates a report.
	 * @param id identifies the crash
	 * @param incarnation the server's incarnation
	 * @param requests the requests, at most {@link #MAX_REQUESTS}
	 */
	public CrashReport(long id, BackendIncarnation incarnation, Set<RequestFingerprint> requests) {
		this(id, incarnation, requests,
				requests.stream()
					.map(RequestFingerprint::untagged)
					.distinct()
					.limit(MAX_UNTAGGED)
					.collect(Collectors.toUnmodifiableSet()));
	}

	/**
	 * Creates the report of a daemon of an earlier build, which reports at most one crash
	 * of each incarnation.
	 * @param incarnation the server's incarnation
	 * @param untagged the requests, at most {@link #MAX_UNTAGGED}
	 * @return the report
	 */
	public static CrashReport ofEarlierBuild(BackendIncarnation incarnation, Set<Long> untagged) {
		long id = Hashing.komihash5_0()
			.hashStream()
			.putString(incarnation.id())
			.putLong(incarnation.startedMillis())
			.getAsLong();
		return new CrashReport(id, incarnation, Set.of(), untagged);
	}

	/**
	 * Returns whether a daemon of an earlier build sent the report.
	 * @return true if it did
	 */
	public boolean isOfEarlierBuild() {
		return this.requests.isEmpty();
	}

	/**
	 * Adds the requests of another report of the same crash.
	 * @param other the other report
	 * @return a report with the requests of both, as far as there is room
	 */
	public CrashReport mergedWith(CrashReport other) {
		return new CrashReport(this.id, this.incarnation,
				Stream.concat(this.requests.stream(), other.requests.stream())
					.distinct()
					.limit(MAX_REQUESTS)
					.collect(Collectors.toUnmodifiableSet()),
				Stream.concat(this.untagged.stream(), other.untagged.stream())
					.distinct()
					.limit(MAX_UNTAGGED)
					.collect(Collectors.toUnmodifiableSet()));
	}

}
