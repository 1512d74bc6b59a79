package org.brasspier.bench.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The slot time that a perfect version could have answered in time: all servers as one,
 * the work due first taken first, what is overdue dropped. An upper bound, since work is
 * taken as a fluid and may run as soon as it's sent.
 */
final class GoodputUpperBound {

	private final Deployment deployment;

	private final Load load;

	GoodputUpperBound(Deployment deployment, Load load) {
		this.deployment = deployment;
		this.load = load;
	}

	double maxAnsweredNanos(List<RecordedRequest> calls, long from, long until) {
		TreeMap<Long, Double> dueBins = new TreeMap<>();
		double done = 0;
		int next = 0;
		for (long begin = 0; begin < until; begin += OutcomeRecorder.BIN_NANOS) {
			long end = begin + OutcomeRecorder.BIN_NANOS;
			for (; next < calls.size() && calls.get(next).atNanos() < end; next++) {
				RecordedRequest call = calls.get(next);
				dueBins.merge((call.atNanos() + call.timeoutNanos()) / OutcomeRecorder.BIN_NANOS,
						(double) call.runNanos(), Double::sum);
			}
			double served = consume(dueBins, availableSlots(begin) * OutcomeRecorder.BIN_NANOS);
			done += (begin >= from) ? served : 0;
			dueBins.headMap(end / OutcomeRecorder.BIN_NANOS).clear();
		}
		return done;
	}

	private double consume(TreeMap<Long, Double> dueBins, double budget) {
		double remaining = budget;
		while (remaining > 0 && !dueBins.isEmpty()) {
			Map.Entry<Long, Double> first = dueBins.firstEntry();
			double part = Math.min(remaining, first.getValue());
			remaining -= part;
			if (part == first.getValue()) {
				dueBins.remove(first.getKey());
			}
			else {
				dueBins.put(first.getKey(), first.getValue() - part);
			}
		}
		return budget - remaining;
	}

	private double availableSlots(long now) {
		Load.Faults trouble = this.load.faults();
		if (now >= trouble.stallBeginNanos() && now < trouble.stallEndNanos()) {
			return 0;
		}
		double servers = this.deployment.servers() - 1 + 1 / trouble.slowness()
				- ((now >= trouble.lostAtNanos()) ? 1 : 0);
		return servers * (this.deployment.slots() / trouble.slotOverstatement());
	}

}
