package org.brasspier.bench.policy;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;

/**
 * Records the outcomes of requests as callers see them. Not thread-safe.
 */
final class OutcomeRecorder {

	static final long BIN_NANOS = 100 * VirtualTime.MILLI;

	private static final long MAX_MICROS = 600_000_000;

	private final long fromNanos;

	private final long untilNanos;

	private final Histogram lookups = new Histogram(1, MAX_MICROS, 3);

	private final Histogram lookupsElsewhere = new Histogram(1, MAX_MICROS, 3);

	private final Histogram lookupsWithResends = new Histogram(1, MAX_MICROS, 3);

	private final Histogram refusals = new Histogram(1, MAX_MICROS, 3);

	private final Histogram otherCallersLookups = new Histogram(1, MAX_MICROS, 3);

	private final Map<Long, Double> answeredNanosByBin = new TreeMap<>();

	private final BitSet ranOnce = new BitSet();

	private long offered;

	private long answered;

	private long gaveUp;

	private long timedOut;

	private long ranTwice;

	private long refusedWithoutOwner;

	private double otherCallersOfferedNanos;

	private double otherCallersAnsweredNanos;

	OutcomeRecorder(long fromNanos, long untilNanos) {
		this.fromNanos = fromNanos;
		this.untilNanos = untilNanos;
	}

	void recordOffered(RecordedRequest call) {
		this.offered += isMeasured(call) ? 1 : 0;
		this.otherCallersOfferedNanos += isFromOtherCaller(call) ? call.runNanos() : 0;
	}

	private boolean isFromOtherCaller(RecordedRequest call) {
		return isMeasured(call) && !call.caller().equals(Load.FIRST_CALLER);
	}

	void recordRun(RecordedRequest call) {
		if (call.requestClass().isIdempotent()) {
			return;
		}
		this.ranTwice += this.ranOnce.get(call.number()) ? 1 : 0;
		this.ranOnce.set(call.number());
	}

	void recordAnswered(Attempt attempt, long now) {
		RecordedRequest call = attempt.call();
		this.answeredNanosByBin.merge(now / BIN_NANOS, (double) call.runNanos(), Double::sum);
		if (!isMeasured(call)) {
			return;
		}
		this.answered++;
		this.otherCallersAnsweredNanos += isFromOtherCaller(call) ? call.runNanos() : 0;
		if (call.requestClass() == RequestClass.LOOKUP) {
			this.lookups.recordValue(micros(now - attempt.sentNanos()));
			this.lookupsWithResends.recordValue(micros(now - call.atNanos()));
			if (isFromOtherCaller(call)) {
				this.otherCallersLookups.recordValue(micros(now - attempt.sentNanos()));
			}
		}
	}

	// Records a lookup on a server other than the first, which is the slow one in loads
	// with a slow server.
	void recordAnsweredElsewhere(Attempt attempt, long now) {
		if (isMeasured(attempt.call()) && attempt.call().requestClass() == RequestClass.LOOKUP) {
			this.lookupsElsewhere.recordValue(micros(now - attempt.sentNanos()));
		}
	}

	void recordRefusal(Attempt attempt, Failure failure, long tookNanos) {
		if (!isMeasured(attempt.call())) {
			return;
		}
		this.refusals.recordValue(micros(tookNanos));
		this.refusedWithoutOwner += (failure.kind() == ErrorKind.NO_OWNER) ? 1 : 0;
	}

	void recordGivenUp(Attempt attempt) {
		this.gaveUp += isMeasured(attempt.call()) ? 1 : 0;
	}

	void recordTimeout(Attempt attempt) {
		this.timedOut += isMeasured(attempt.call()) ? 1 : 0;
	}

	private boolean isMeasured(RecordedRequest call) {
		return call.atNanos() >= this.fromNanos && call.atNanos() < this.untilNanos;
	}

	private static long micros(long nanos) {
		return Math.clamp(nanos / 1000, 1, MAX_MICROS);
	}

	double answeredRunNanos(long from, long until) {
		return this.answeredNanosByBin.entrySet()
			.stream()
			.filter((entry) -> entry.getKey() >= from / BIN_NANOS && entry.getKey() < until / BIN_NANOS)
			.mapToDouble(Map.Entry::getValue)
			.sum();
	}

	Histogram lookups() {
		return this.lookups;
	}

	Histogram lookupsElsewhere() {
		return this.lookupsElsewhere;
	}

	Histogram lookupsWithResends() {
		return this.lookupsWithResends;
	}

	Histogram otherCallersLookups() {
		return this.otherCallersLookups;
	}

	// Returns the share of the slot time requested by callers other than the first that
	// was answered.
	double otherCallersGoodput() {
		return this.otherCallersAnsweredNanos / Math.max(1, this.otherCallersOfferedNanos);
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

	// Returns the time without an owner, as the equivalent time of the whole service.
	double unavailableSeconds() {
		double seconds = (this.untilNanos - this.fromNanos) / (double) VirtualTime.SECOND;
		return this.refusedWithoutOwner / (Math.max(1, this.offered) / seconds);
	}

}
