package org.brasspier.bench.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Calculates the slot time that an ideal strategy could have answered in time: all
 * servers pooled, earliest deadline first, overdue work dropped. It is an upper bound,
 * since work is treated as divisible at will and may run as soon as it is sent.
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
		Load.Faults faults = this.load.faults();
		if (now >= faults.stallBeginNanos() && now < faults.stallEndNanos()) {
			return 0;
		}
		// The first server runs at 1 / slowness of the others' speed.
		double servers = this.deployment.servers() - 1 + 1 / faults.slowness()
				- ((now >= faults.lostAtNanos()) ? 1 : 0);
		return servers * (this.deployment.slots() / faults.slotOverstatement());
	}

}
