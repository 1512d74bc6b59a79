package org.brasspier.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.core.CallerId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.RequestClass;

/**
 * One load: what callers ask for and what happens to the servers.
 *
 * @param name the load's name
 * @param byKey whether the service is divided by key
 * @param seconds how long callers send
 * @param settleSeconds the time at the start that is not measured
 * @param level the slot time asked for, as a share of all slots
 * @param classes the classes of request
 * @param keys the keys
 * @param trouble what happens
 */
record Load(String name, boolean byKey, int seconds, int settleSeconds, double level, ClassMix classes, KeyMix keys,
		Trouble trouble) {

	private static final int CALLERS = 20;

	/** The caller that crowds the others out, where one does. */
	static final CallerId FIRST_CALLER = new CallerId("caller-0");

	static List<Load> all() {
		return List.of(usual("unloaded", 60, 0.05, KeyMix.EVEN), usual("steady", 1800, 0.5, KeyMix.EVEN),
				troubled("burst-x10", 40, 0.5, Trouble.burst(10)), usual("zipf-1.2", 600, 0.6, KeyMix.SKEWED),
				usual("one-key-30%", 600, 0.6, KeyMix.ONE_HOT),
				troubled("slow-server-x5", 300, 0.5, Trouble.slowServer(5)),
				troubled("slow-server-x20", 300, 0.5, Trouble.slowServer(20)),
				unkeyed("any-server-slow-x5", Trouble.slowServer(5)),
				unkeyed("any-server-slow-x20", Trouble.slowServer(20)),
				new Load("long-and-short", true, 120, 20, 0.9, ClassMix.LONG_AND_SHORT, KeyMix.EVEN, Trouble.NONE),
				usual("saturation-x1", 60, 1.0, KeyMix.EVEN), usual("saturation-x1.5", 60, 1.5, KeyMix.EVEN),
				usual("saturation-x3", 60, 3, KeyMix.EVEN), usual("hot-keys-change", 600, 0.6, KeyMix.CHANGING),
				troubled("domain-lost", 180, 0.7, Trouble.domainLost(60)),
				troubled("full-stall", 60, 0.7, Trouble.allStalled(25)),
				troubled("false-slots", 60, 0.75, Trouble.overstatedSlots(2)),
				troubled("one-office-x10", 60, 0.8, Trouble.crowdingOffice(10)));
	}

	static Load named(String name) {
		return all().stream().filter((load) -> load.name().equals(name)).findFirst().orElseThrow();
	}

	private static Load usual(String name, int seconds, double level, KeyMix keys) {
		return new Load(name, true, seconds, Math.min(120, seconds / 3), level, ClassMix.USUAL, keys, Trouble.NONE);
	}

	private static Load troubled(String name, int seconds, double level, Trouble trouble) {
		return new Load(name, true, seconds, 20, level, ClassMix.USUAL, KeyMix.EVEN, trouble);
	}

	private static Load unkeyed(String name, Trouble trouble) {
		return new Load(name, false, 120, 20, 0.5, ClassMix.USUAL, KeyMix.EVEN, trouble);
	}

	/**
	 * What callers send, the same for each version that is tried.
	 * @param deployment where
	 * @param seed the seed of all chance
	 * @return the requests by time
	 */
	List<CallerCall> record(Deployment deployment, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		KeyMix.Source keys = this.keys.source();
		double usualGap = this.classes.meanRunNanos()
				/ (deployment.allSlots() * this.level * (CALLERS - 1 + this.trouble.crowding()) / CALLERS);
		List<CallerId> callers = IntStream.range(0, CALLERS).mapToObj((i) -> new CallerId("caller-" + i)).toList();
		List<CallerCall> calls = new ArrayList<>();
		double now = 0;
		while (now < this.seconds * (double) VirtualTime.SECOND) {
			now += usualGap / this.trouble.factor((long) now, this.seconds) * random.nextExponential();
			RequestClass requestClass = this.classes.pick(random);
			String key = this.byKey ? keys.next(random, (long) now) : "id-" + calls.size();
			calls.add(
					new CallerCall(calls.size(), (long) now, KeyHash.of(key), requestClass, callers.get(caller(random)),
							this.classes.run(requestClass, random), random.nextInt(deployment.servers())));
		}
		return calls;
	}

	private int caller(SplittableRandom random) {
		if (this.trouble.crowding() == 1) {
			return random.nextInt(CALLERS);
		}
		double lot = random.nextDouble() * (CALLERS - 1 + this.trouble.crowding());
		return (int) Math.max(0, lot - this.trouble.crowding() + 1);
	}

	/**
	 * What happens to callers and servers. A burst begins at half time and lasts 2
	 * seconds.
	 *
	 * @param burst how many times the usual load comes in the burst
	 * @param slowness how many times longer the first server takes, from the start on
	 * @param lostAtSecond when the last failure domain is lost, 0 for never
	 * @param stalledAtSecond when all servers stop for 5 seconds, 0 for never
	 * @param overstated how many times the true slots the servers announce
	 * @param crowding how many times as much as each other caller the first one sends
	 */
	record Trouble(double burst, double slowness, int lostAtSecond, int stalledAtSecond, int overstated,
			double crowding) {

		private static final long STALL_NANOS = 5 * VirtualTime.SECOND;

		private static final long BURST_NANOS = 2 * VirtualTime.SECOND;

		static final Trouble NONE = new Trouble(1, 1, 0, 0, 1, 1);

		static Trouble burst(double times) {
			return new Trouble(times, 1, 0, 0, 1, 1);
		}

		static Trouble slowServer(double times) {
			return new Trouble(1, times, 0, 0, 1, 1);
		}

		static Trouble domainLost(int second) {
			return new Trouble(1, 1, second, 0, 1, 1);
		}

		static Trouble allStalled(int second) {
			return new Trouble(1, 1, 0, second, 1, 1);
		}

		static Trouble overstatedSlots(int times) {
			return new Trouble(1, 1, 0, 0, times, 1);
		}

		static Trouble crowdingOffice(double times) {
			return new Trouble(1, 1, 0, 0, 1, times);
		}

		double factor(long now, int seconds) {
			long begin = seconds / 2 * VirtualTime.SECOND;
			return (now >= begin && now < begin + BURST_NANOS) ? this.burst : 1;
		}

		long stallBegin() {
			return (this.stalledAtSecond > 0) ? this.stalledAtSecond * VirtualTime.SECOND : Long.MAX_VALUE;
		}

		long stallEnd() {
			return (this.stalledAtSecond > 0) ? stallBegin() + STALL_NANOS : Long.MAX_VALUE;
		}

		long lostAt() {
			return (this.lostAtSecond > 0) ? this.lostAtSecond * VirtualTime.SECOND : Long.MAX_VALUE;
		}

	}

}
