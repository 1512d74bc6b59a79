package org.brasspier.bench.policy;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;

/**
 * What callers saw. Not thread-safe.
 */
final class Outcomes {

	static final long BIN_NANOS = 100 * VirtualTime.MILLI;

	private static final long LONGEST_MICROS = 600_000_000;

	private final long fromNanos;

	private final long untilNanos;

	private final Histogram lookups = new Histogram(1, LONGEST_MICROS, 3);

	private final Histogram otherLookups = new Histogram(1, LONGEST_MICROS, 3);

	private final Histogram lookupsWithResends = new Histogram(1, LONGEST_MICROS, 3);

	private final Histogram refusals = new Histogram(1, LONGEST_MICROS, 3);

	private final Histogram smallCallersLookups = new Histogram(1, LONGEST_MICROS, 3);

	private final Map<Long, Double> answeredByBin = new TreeMap<>();

	private final BitSet ranOnce = new BitSet();

	private long offered;

	private long answered;

	private long gaveUp;

	private long timedOut;

	private long ranTwice;

	private long withoutOwner;

	private double smallCallersAsked;

	private double smallCallersAnswered;

	Outcomes(long fromNanos, long untilNanos) {
		this.fromNanos = fromNanos;
		this.untilNanos = untilNanos;
	}

	void offered(CallerCall call) {
		this.offered += measured(call) ? 1 : 0;
		this.smallCallersAsked += ofSmallCaller(call) ? call.runNanos() : 0;
	}

	private boolean ofSmallCaller(CallerCall call) {
		return measured(call) && !call.caller().equals(Load.FIRST_CALLER);
	}

	void ran(CallerCall call) {
		if (call.requestClass().isIdempotent()) {
			return;
		}
		this.ranTwice += this.ranOnce.get(call.number()) ? 1 : 0;
		this.ranOnce.set(call.number());
	}

	void answered(Attempt attempt, long now) {
		CallerCall call = attempt.call();
		this.answeredByBin.merge(now / BIN_NANOS, (double) call.runNanos(), Double::sum);
		if (!measured(call)) {
			return;
		}
		this.answered++;
		this.smallCallersAnswered += ofSmallCaller(call) ? call.runNanos() : 0;
		if (call.requestClass() == RequestClass.LOOKUP) {
			this.lookups.recordValue(micros(now - attempt.sentNanos()));
			this.lookupsWithResends.recordValue(micros(now - call.atNanos()));
			if (ofSmallCaller(call)) {
				this.smallCallersLookups.recordValue(micros(now - attempt.sentNanos()));
			}
		}
	}

	// Lookups that did not touch the server in trouble.
	void answeredElsewhere(Attempt attempt, long now) {
		if (measured(attempt.call()) && attempt.call().requestClass() == RequestClass.LOOKUP) {
			this.otherLookups.recordValue(micros(now - attempt.sentNanos()));
		}
	}

	void refused(Attempt attempt, Failure failure, long tookNanos) {
		if (!measured(attempt.call())) {
			return;
		}
		this.refusals.recordValue(micros(tookNanos));
		this.withoutOwner += (failure.kind() == ErrorKind.NO_OWNER) ? 1 : 0;
	}

	void gaveUp(Attempt attempt) {
		this.gaveUp += measured(attempt.call()) ? 1 : 0;
	}

	void timedOut(Attempt attempt) {
		this.timedOut += measured(attempt.call()) ? 1 : 0;
	}

	private boolean measured(CallerCall call) {
		return call.atNanos() >= this.fromNanos && call.atNanos() < this.untilNanos;
	}

	private static long micros(long nanos) {
		return Math.clamp(nanos / 1000, 1, LONGEST_MICROS);
	}

	double answeredWork(long from, long until) {
		return this.answeredByBin.entrySet()
			.stream()
			.filter((entry) -> entry.getKey() >= from / BIN_NANOS && entry.getKey() < until / BIN_NANOS)
			.mapToDouble(Map.Entry::getValue)
			.sum();
	}

	Histogram lookups() {
		return this.lookups;
	}

	Histogram otherLookups() {
		return this.otherLookups;
	}

	Histogram lookupsWithResends() {
		return this.lookupsWithResends;
	}

	Histogram smallCallersLookups() {
		return this.smallCallersLookups;
	}

	// The share of the work that callers other than the first asked for and got.
	double smallCallersGoodput() {
		return this.smallCallersAnswered / Math.max(1, this.smallCallersAsked);
	}

	Histogram refusals() {
		return this.refusals;
	}

	double refusedShare() {
		return this.gaveUp / (double) Math.max(1, this.offered);
	}

	double timedOutShare() {
		return this.timedOut / (double) Math.max(1, this.offered);
	}

	long ranTwice() {
		return this.ranTwice;
	}

	// As if the whole service had been away for this long.
	double unavailableSeconds() {
		double seconds = (this.untilNanos - this.fromNanos) / (double) VirtualTime.SECOND;
		return this.withoutOwner / (Math.max(1, this.offered) / seconds);
	}

}
