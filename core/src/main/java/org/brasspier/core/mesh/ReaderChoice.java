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
 * Which daemons read the store for all others, as one of them sees it. There is no vote:
 * each takes the first of every failure domain in an order that all agree on, widest
 * network link first, leaving out whom it can't reach. Two that disagree for a moment
 * cost a reader more. Immutable and thread-safe.
 *
 * @param readers the readers, at most one of each failure domain unless there is but one
 * @param followed whom this daemon follows, never itself: a reader, or two if it is one
 * @param position this daemon's place among the readers; negative if it is none
 */
public record ReaderChoice(List<InstanceId> readers, List<InstanceId> followed, int position) {

	/** Fewer would leave nobody to notice that the only one is no longer answered. */
	private static final int FEWEST_READERS = 2;

	/**
	 * A reader follows two others, so that news reaches it unless both are lost with its
	 * own way to the store.
	 */
	private static final int FOLLOWED_BY_READERS = 2;

	// A reader sends each row to all daemons of its failure domain. On a narrow link that
	// holds up whatever else comes from it for so long that it is taken for lost.
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
	 * Chooses.
	 * @param self this daemon
	 * @param others the daemons that can be reached and pass rows on
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
			.limit(Math.max(0, FEWEST_READERS - readers.size()))
			.forEach(readers::add);
		return new ReaderChoice(readers.stream().map(Candidate::instance).toList(), followed(self, readers),
				readers.indexOf(self));
	}

	// From the own failure domain on: bytes between failure domains are paid for.
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
	 * Whether this daemon reads the store for others.
	 * @return true if so
	 */
	public boolean isReader() {
		return this.position >= 0;
	}

	/**
	 * A daemon that may read for others.
	 *
	 * @param instance its instance
	 * @param domain its failure domain
	 * @param linkMegabits what its network link carries, in megabits a second; 0 if that
	 * is not known
	 */
	public record Candidate(InstanceId instance, FailureDomain domain, int linkMegabits) {

		/**
		 * Creates a candidate whose network link is not known.
		 * @param instance its instance
		 * @param domain its failure domain
		 */
		public Candidate(InstanceId instance, FailureDomain domain) {
			this(instance, domain, 0);
		}

		// Written out: generated ones go through method handles, which take
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
