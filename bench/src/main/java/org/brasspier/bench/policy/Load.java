package org.brasspier.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.core.CallerId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.RequestClass;

/**
 * One load: what callers request, and which faults occur.
 *
 * @param name the load's name
 * @param sharded whether the service is sharded by key
 * @param seconds how long callers send requests
 * @param settleSeconds the warm-up time that is not measured
 * @param utilization the requested slot time as a share of the capacity of all slots
 * @param classes the distribution over request classes
 * @param keys the distribution of the keys
 * @param faults the faults and load changes
 */
record Load(String name, boolean sharded, int seconds, int settleSeconds, double utilization, RequestClassMix classes,
		KeyDistribution keys, Faults faults) {

	private static final int CALLERS = 20;

	/** The caller that sends more than the others in loads with a dominant caller. */
	static final CallerId FIRST_CALLER = new CallerId("caller-0");

	static List<Load> all() {
		return List.of(withoutFaults("unloaded", 60, 0.05, KeyDistribution.EVEN),
				withoutFaults("steady", 1800, 0.5, KeyDistribution.EVEN),
				withFaults("burst-x10", 40, 0.5, Faults.burst(10)),
				withoutFaults("zipf-1.2", 600, 0.6, KeyDistribution.SKEWED),
				withoutFaults("one-key-30%", 600, 0.6, KeyDistribution.ONE_HOT),
				withFaults("slow-server-x5", 300, 0.5, Faults.slowServer(5)),
				withFaults("slow-server-x20", 300, 0.5, Faults.slowServer(20)),
				unsharded("any-server-slow-x5", Faults.slowServer(5)),
				unsharded("any-server-slow-x20", Faults.slowServer(20)),
				new Load("long-and-short", true, 120, 20, 0.9, RequestClassMix.LONG_AND_SHORT, KeyDistribution.EVEN,
						Faults.NONE),
				withoutFaults("saturation-x1", 60, 1.0, KeyDistribution.EVEN),
				withoutFaults("saturation-x1.5", 60, 1.5, KeyDistribution.EVEN),
				withoutFaults("saturation-x3", 60, 3, KeyDistribution.EVEN),
				withoutFaults("hot-keys-change", 600, 0.6, KeyDistribution.CHANGING),
				withFaults("domain-lost", 180, 0.7, Faults.domainLost(60)),
				withFaults("full-stall", 60, 0.7, Faults.allServersStalled(25)),
				withFaults("false-slots", 60, 0.75, Faults.overstatedSlots(2)),
				withFaults("one-office-x10", 60, 0.8, Faults.dominantCaller(10)));
	}

	static Load get(String name) {
		return all().stream().filter((load) -> load.name().equals(name)).findFirst().orElseThrow();
	}

	private static Load withoutFaults(String name, int seconds, double level, KeyDistribution keys) {
		return new Load(name, true, seconds, Math.min(120, seconds / 3), level, RequestClassMix.TYPICAL, keys,
				Faults.NONE);
	}

	private static Load withFaults(String name, int seconds, double level, Faults faults) {
		return new Load(name, true, seconds, 20, level, RequestClassMix.TYPICAL, KeyDistribution.EVEN, faults);
	}

	private static Load unsharded(String name, Faults faults) {
		return new Load(name, false, 120, 20, 0.5, RequestClassMix.TYPICAL, KeyDistribution.EVEN, faults);
	}

	/**
	 * Generates the requests that callers send, the same for each strategy.
	 * @param deployment the deployment
	 * @param seed the random seed
	 * @return the requests in order of time
	 */
	List<RecordedRequest> record(Deployment deployment, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		KeyDistribution.Source keys = this.keys.source();
		double meanGapNanos = this.classes.meanRunNanos() / (deployment.totalSlots() * this.utilization
				* (CALLERS - 1 + this.faults.firstCallerFactor()) / CALLERS);
		List<CallerId> callers = IntStream.range(0, CALLERS).mapToObj((i) -> new CallerId("caller-" + i)).toList();
		List<RecordedRequest> calls = new ArrayList<>();
		double now = 0;
		while (now < this.seconds * (double) VirtualTime.SECOND) {
			now += meanGapNanos / this.faults.rateFactor((long) now, this.seconds) * random.nextExponential();
			RequestClass requestClass = this.classes.pick(random);
			String key = this.sharded ? keys.next(random, (long) now) : "id-" + calls.size();
			calls.add(new RecordedRequest(calls.size(), (long) now, KeyHash.of(key), requestClass,
					callers.get(pickCaller(random)), this.classes.sampleRunNanos(requestClass, random),
					random.nextInt(deployment.servers())));
		}
		return calls;
	}

	private int pickCaller(SplittableRandom random) {
		if (this.faults.firstCallerFactor() == 1) {
			return random.nextInt(CALLERS);
		}
		double sample = random.nextDouble() * (CALLERS - 1 + this.faults.firstCallerFactor());
		return (int) Math.max(0, sample - this.faults.firstCallerFactor() + 1);
	}

	/**
	 * Load changes and faults of servers. A burst begins at half of the time and lasts 2
	 * seconds.
	 *
	 * @param burst the factor by which the request rate grows during the burst
	 * @param slowness the factor by which run times on the first server are longer, from
	 * the start on
	 * @param lostAtSecond when the failure domain of the last server is lost, 0 for never
	 * @param stalledAtSecond when all servers stall for 5 seconds, 0 for never
	 * @param slotOverstatement the announced slots of a server divided by its actual
	 * slots
	 * @param firstCallerFactor the request rate of the first caller divided by that of
	 * each other caller
	 */
	record Faults(double burst, double slowness, int lostAtSecond, int stalledAtSecond, int slotOverstatement,
			double firstCallerFactor) {

		private static final long STALL_NANOS = 5 * VirtualTime.SECOND;

		private static final long BURST_NANOS = 2 * VirtualTime.SECOND;

		static final Faults NONE = new Faults(1, 1, 0, 0, 1, 1);

		static Faults burst(double times) {
			return new Faults(times, 1, 0, 0, 1, 1);
		}

		static Faults slowServer(double times) {
			return new Faults(1, times, 0, 0, 1, 1);
		}

		static Faults domainLost(int second) {
			return new Faults(1, 1, second, 0, 1, 1);
		}

		static Faults allServersStalled(int second) {
			return new Faults(1, 1, 0, second, 1, 1);
		}

		static Faults overstatedSlots(int times) {
			return new Faults(1, 1, 0, 0, times, 1);
		}

		static Faults dominantCaller(double times) {
			return new Faults(1, 1, 0, 0, 1, times);
		}

		double rateFactor(long now, int seconds) {
			long begin = seconds / 2 * VirtualTime.SECOND;
			return (now >= begin && now < begin + BURST_NANOS) ? this.burst : 1;
		}

		long stallBeginNanos() {
			return (this.stalledAtSecond > 0) ? this.stalledAtSecond * VirtualTime.SECOND : Long.MAX_VALUE;
		}

		long stallEndNanos() {
			return (this.stalledAtSecond > 0) ? stallBeginNanos() + STALL_NANOS : Long.MAX_VALUE;
		}

		long lostAtNanos() {
			return (this.lostAtSecond > 0) ? this.lostAtSecond * VirtualTime.SECOND : Long.MAX_VALUE;
		}

	}

}
