package org.brasspier.core.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Determines which daemons read the store on behalf of all others, as seen by one daemon.
 * There is no election: each daemon takes the first reachable daemon of every failure
 * domain, in an order that is the same for all, widest network link first. If two daemons
 * disagree for a moment, there is one reader more. Immutable and thread-safe.
 *
 * @param readers the readers, at most one of each failure domain unless there is only one
 * @param followed the readers that this daemon follows, never itself: one, or two if it
 * is a reader
 * @param position this daemon's index among the readers; negative if it is not a reader
 */
public record ReaderChoice(List<InstanceId> readers, List<InstanceId> followed, int position) {

	/** With fewer, nobody would notice that the only reader no longer gets answers. */
	private static final int MIN_READERS = 2;

	/**
	 * A reader follows two others, so that updates reach it unless both are lost together
	 * with its own connection to the store.
	 */
	private static final int FOLLOWED_BY_READERS = 2;

	// A reader sends each row to all daemons of its failure domain. On a narrow link that
	// delays all other messages of the daemon for so long that it is considered lost.
	private static final Comparator<Candidate> ORDER = Comparator.comparingInt(Candidate::linkMegabits)
		.reversed()
		.thenComparingLong((Candidate candidate) -> Hashing.komihash5_0().hashCharsToLong(candidate.instance().value()))
		.thenComparing(Candidate::instance);

	/**
	 * Copies the lists.
	 */
	public ReaderChoice {
		readers = List.copyOf(readers);
		followed = List.copyOf(followed);
	}

	/**
	 * Determines the readers and the daemons to follow.
	 * @param self this daemon
	 * @param others the daemons that can be reached and that forward rows
	 * @return the choice
	 */
	public static ReaderChoice of(Candidate self, Collection<Candidate> others) {
		List<Candidate> ordered = Stream
			.concat(Stream.of(self), others.stream().filter((other) -> !other.instance().equals(self.instance())))
			.sorted(ORDER)
			.toList();
		Map<FailureDomain, Candidate> first = ordered.stream()
			.collect(Collectors.toMap(Candidate::domain, Function.identity(), (one, later) -> one,
					() -> new TreeMap<>(Comparator.comparing(FailureDomain::value))));
		List<Candidate> readers = new ArrayList<>(first.values());
		ordered.stream()
			.filter((candidate) -> !readers.contains(candidate))
			.limit(Math.max(0, MIN_READERS - readers.size()))
			.forEach(readers::add);
		return new ReaderChoice(readers.stream().map(Candidate::instance).toList(), followed(self, readers),
				readers.indexOf(self));
	}

	// Starts with the own failure domain, because traffic between failure domains is
	// billed.
	private static List<InstanceId> followed(Candidate self, List<Candidate> readers) {
		int own = IntStream.range(0, readers.size())
			.filter((i) -> readers.get(i).domain().equals(self.domain()))
			.findFirst()
			.orElse(0);
		return IntStream.range(0, readers.size())
			.mapToObj((i) -> readers.get((own + i) % readers.size()))
			.filter((reader) -> !reader.equals(self))
			.limit(readers.contains(self) ? FOLLOWED_BY_READERS : 1)
			.map(Candidate::instance)
			.toList();
	}

	/**
	 * Returns whether this daemon reads the store on behalf of others.
	 * @return true if it is a reader
	 */
	public boolean isReader() {
		return this.position >= 0;
	}

	/**
	 * A daemon that may become a reader.
	 *
	 * @param instance its instance
	 * @param domain its failure domain
	 * @param linkMegabits the bandwidth of its network link, in megabits per second; 0 if
	 * unknown
	 */
	public record Candidate(InstanceId instance, FailureDomain domain, int linkMegabits) {

		/**
		 * Creates a candidate whose network link is unknown.
		 * @param instance its instance
		 * @param domain its failure domain
		 */
		public Candidate(InstanceId instance, FailureDomain domain) {
			this(instance, domain, 0);
		}

		// Written by hand: the generated methods use method handles, which take
		// milliseconds to set up in a process that has just started.
		@Override
		public boolean equals(@Nullable Object other) {
			return other instanceof Candidate that && this.linkMegabits == that.linkMegabits
					&& this.instance.equals(that.instance) && this.domain.equals(that.domain);
		}

		@Override
		public int hashCode() {
			return 31 * this.instance.hashCode() + this.domain.hashCode();
		}

	}

}
