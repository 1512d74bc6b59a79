package org.brasspier.bench.demo;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.bench.demo.Fault.Part;
import org.brasspier.standins.LinkState;

/**
 * A schedule of two or three faults that may overlap. The same seed produces the same
 * schedule for deployments of the same size. Immutable and thread-safe.
 *
 * @param seed seed that the schedule was generated from
 * @param entries the faults, sorted by start time
 */
public record FaultSchedule(long seed, List<Entry> entries) {

	private static final int MAX_START_MILLIS = 700;

	/**
	 * The range of durations, 200 to 2500 ms, reaches from well below the lease duration
	 * of 600 ms to several lease durations.
	 */
	private static final int MIN_DURATION_MILLIS = 200;

	private static final int MAX_DURATION_MILLIS = 2500;

	private static final int MAX_STORE_DELAY_MILLIS = 2000;

	private static final int MAX_LOST_ANSWERS = 4;

	/**
	 * Creates a schedule with an unmodifiable copy of the entries.
	 */
	public FaultSchedule {
		entries = List.copyOf(entries);
	}

	/**
	 * Generates a schedule from a seed.
	 * @param seed the seed
	 * @param instances number of instances in the deployment, at least 2
	 * @param domains number of failure domains in the deployment
	 * @return the schedule
	 */
	public static FaultSchedule of(long seed, int instances, int domains) {
		SplittableRandom random = new SplittableRandom(seed);
		int count = random.nextInt(2, 4);
		List<Entry> entries = IntStream.range(0, count)
			.mapToObj((i) -> new Entry(random.nextInt(MAX_START_MILLIS),
					random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS), randomFault(random, instances, domains)))
			.sorted(Comparator.comparingInt(Entry::startMillis))
			.toList();
		return new FaultSchedule(seed, entries);
	}

	private static Fault randomFault(SplittableRandom random, int instances, int domains) {
		int instance = random.nextInt(instances);
		return switch (random.nextInt(11)) {
			case 0 -> new Fault.Killed(instance, randomPart(random));
			case 1 -> new Fault.Killed(instance, Part.WHOLE);
			case 2 -> new Fault.Paused(instance, randomPart(random));
			case 3 -> new Fault.Stopped(instance);
			case 4 -> new Fault.Isolated(instance, randomLinkState(random));
			case 5 -> new Fault.Disconnected(instance, (instance + 1 + random.nextInt(instances - 1)) % instances,
					randomLinkState(random));
			case 6 -> new Fault.DomainIsolated(random.nextInt(domains), random.nextBoolean());
			case 7 -> new Fault.StoreUnreachable(instance, randomLinkState(random));
			case 8 -> new Fault.StoreDown();
			case 9 -> (random.nextBoolean())
					? new Fault.StoreSlow(random.nextInt(MIN_DURATION_MILLIS, MAX_STORE_DELAY_MILLIS))
					: new Fault.StoreAnswersLost(random.nextInt(1, MAX_LOST_ANSWERS));
			default -> new Fault.ConnectionsSilenced(instance);
		};
	}

	private static Part randomPart(SplittableRandom random) {
		return Part.values()[random.nextInt(Part.values().length)];
	}

	private static LinkState randomLinkState(SplittableRandom random) {
		LinkState[] faultyStates = { LinkState.RESET, LinkState.HELD, LinkState.HELD_FORTH, LinkState.HELD_BACK };
		return faultyStates[random.nextInt(faultyStates.length)];
	}

	/**
	 * A fault with its start time and duration.
	 *
	 * @param startMillis start of the fault, in milliseconds after the start of the
	 * schedule
	 * @param durationMillis duration of the fault, in milliseconds
	 * @param fault the fault
	 */
	public record Entry(int startMillis, int durationMillis, Fault fault) {

	}

}
