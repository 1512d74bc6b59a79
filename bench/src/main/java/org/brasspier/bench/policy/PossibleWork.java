package org.brasspier.bench.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The slot time that a perfect version could have answered in time: all servers as one,
 * the work due first taken first, what is overdue dropped. An upper bound, since work is
 * taken as a fluid and may run as soon as it's sent.
 */
final class PossibleWork {

	private final Deployment deployment;

	private final Load load;

	PossibleWork(Deployment deployment, Load load) {
		this.deployment = deployment;
		this.load = load;
	}

	double between(List<CallerCall> calls, long from, long until) {
		TreeMap<Long, Double> dueBins = new TreeMap<>();
		double done = 0;
		int next = 0;
		for (long begin = 0; begin < until; begin += Outcomes.BIN_NANOS) {
			long end = begin + Outcomes.BIN_NANOS;
			for (; next < calls.size() && calls.get(next).atNanos() < end; next++) {
				CallerCall call = calls.get(next);
				dueBins.merge((call.atNanos() + call.patienceNanos()) / Outcomes.BIN_NANOS, (double) call.runNanos(),
						Double::sum);
			}
			double served = serve(dueBins, capacity(begin) * Outcomes.BIN_NANOS);
			done += (begin >= from) ? served : 0;
			dueBins.headMap(end / Outcomes.BIN_NANOS).clear();
		}
		return done;
	}

	private double serve(TreeMap<Long, Double> dueBins, double room) {
		double left = room;
		while (left > 0 && !dueBins.isEmpty()) {
			Map.Entry<Long, Double> first = dueBins.firstEntry();
			double part = Math.min(left, first.getValue());
			left -= part;
			if (part == first.getValue()) {
				dueBins.remove(first.getKey());
			}
			else {
				dueBins.put(first.getKey(), first.getValue() - part);
			}
		}
		return room - left;
	}

	private double capacity(long now) {
		Load.Trouble trouble = this.load.trouble();
		if (now >= trouble.stallBegin() && now < trouble.stallEnd()) {
			return 0;
		}
		double servers = this.deployment.servers() - 1 + 1 / trouble.slowness() - ((now >= trouble.lostAt()) ? 1 : 0);
		return servers * (this.deployment.slots() / trouble.overstated());
	}

}
