package org.brasspier.bench.policy;

/**
 * What came of one run.
 *
 * @param goodput the slot time of what was answered in time, over what was possible
 * @param refusedShare the share of requests whose last answer was a refusal
 * @param timedOutShare the share of requests that got no answer in time
 * @param refusalP99Millis how long refusals took in the daemon
 * @param lookupP50Millis the median of answered lookups, from their last sending
 * @param lookupP99Millis the 99th percentile
 * @param lookupP999Millis the 99.9th percentile
 * @param lookupAllP99Millis the 99th percentile from their first sending
 * @param elsewhereP99Millis the 99th percentile on servers other than the first
 * @param imbalance the busiest server's busy slot time over the mean
 * @param imbalanceBound what the hottest key alone makes of it, at least 1
 * @param balanceChurnHourly the share of the key space moved in an hour to even out load
 * @param lossChurn the share of the key space moved because of a loss
 * @param moves the number of ranges moved
 * @param unavailableSeconds as if the whole service had no owner for this long
 * @param ranTwice postings that ran twice
 * @param recoveryMillis from the end of a stall until all that is asked for is answered;
 * -1 if that did not come
 * @param othersGoodput the slot time that callers other than the first got answered, over
 * what they asked for
 * @param othersLookupP99Millis the 99th percentile of their answered lookups
 */
record Figures(double goodput, double refusedShare, double timedOutShare, double refusalP99Millis,
		double lookupP50Millis, double lookupP99Millis, double lookupP999Millis, double lookupAllP99Millis,
		double elsewhereP99Millis, double imbalance, double imbalanceBound, double balanceChurnHourly, double lossChurn,
		int moves, double unavailableSeconds, long ranTwice, double recoveryMillis, double othersGoodput,
		double othersLookupP99Millis) {

}
