package org.brasspier.bench.demo;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.bench.demo.Fault.Part;
import org.brasspier.standins.LinkState;

/**
 * Two or three faults that overlap. The same seed gives the same schedule for a
 * deployment of the same size. Immutable and thread-safe.
 *
 * @param seed what it was drawn from
 * @param entries the faults in the order of their beginnings
 */
public record FaultSchedule(long seed, List<Entry> entries) {

	private static final int MAX_START_MILLIS = 700;

	/** From well below a lease of 600 ms to several of them. */
	private static final int MIN_DURATION_MILLIS = 200;

	private static final int MAX_DURATION_MILLIS = 2500;

	private static final int MAX_STORE_DELAY_MILLIS = 2000;

	private static final int MAX_LOST_ANSWERS = 4;

	/**
	 * Copies the list.
	 */
	public FaultSchedule {
		entries = List.copyOf(entries);
	}

	/**
	 * Draws a schedule.
	 * @param seed the seed
	 * @param instances how many instances the deployment has, at least 2
	 * @param domains how many failure domains it has
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
	 * One fault and its time.
	 *
	 * @param startMillis when it begins, in milliseconds after the schedule
	 * @param durationMillis how long it lasts, in milliseconds
	 * @param fault the fault
	 */
	public record Entry(int startMillis, int durationMillis, Fault fault) {

	}

}
