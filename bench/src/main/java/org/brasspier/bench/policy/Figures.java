package org.brasspier.bench.policy;

/**
 * The results of one simulation. The component names are the names in policy.json.
 *
 * @param goodput the slot time of the requests answered in time, divided by the upper
 * bound of it
 * @param refusedShare the share of requests whose last response was a refusal
 * @param timedOutShare the share of requests without a response in time
 * @param refusalP99Millis the 99th percentile of the time that a refusal took in the
 * daemon
 * @param lookupP50Millis the median latency of answered lookups, from their last attempt
 * @param lookupP99Millis the 99th percentile
 * @param lookupP999Millis the 99.9th percentile
 * @param lookupAllP99Millis the 99th percentile from their first attempt
 * @param elsewhereP99Millis the 99th percentile of lookups on servers other than the
 * first
 * @param imbalance the busiest server's busy slot time over the mean
 * @param imbalanceBound the imbalance that the hottest key alone causes, at least 1
 * @param balanceChurnHourly the share of the key space moved per hour to balance load
 * @param lossChurn the share of the key space moved because a server was lost
 * @param moves the number of ranges moved
 * @param unavailableSeconds the time without an owner, as the equivalent time of the
 * whole service
 * @param ranTwice repeated runs of requests that are not idempotent
 * @param recoveryMillis the time from the end of a stall until the answered work matches
 * the offered work; -1 if it never does
 * @param othersGoodput the share of the slot time requested by callers other than the
 * first that was answered
 * @param othersLookupP99Millis the 99th percentile of their answered lookups
 */
record Figures(double goodput, double refusedShare, double timedOutShare, double refusalP99Millis,
		double lookupP50Millis, double lookupP99Millis, double lookupP999Millis, double lookupAllP99Millis,
		double elsewhereP99Millis, double imbalance, double imbalanceBound, double balanceChurnHourly, double lossChurn,
		int moves, double unavailableSeconds, long ranTwice, double recoveryMillis, double othersGoodput,
		double othersLookupP99Millis) {

}
