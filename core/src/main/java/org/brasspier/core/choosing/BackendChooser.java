package org.brasspier.core.choosing;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.load.GateReport;

/**
 * Chooses a backend server for each request of a service that is not sharded, by the
 * expected time of the answer: the observed speed of the server, the requests of this
 * daemon in flight there, and the round trip to it. Load reported by the servers
 * themselves is not used, since it lags or misleads. What their gates report is blended
 * in where routes differ in cost or servers in speed. Not thread-safe.
 */
public final class BackendChooser {

	/**
	 * Factor over the median slowness above which a server is avoided. Below three,
	 * queues and random variation would exclude healthy servers.
	 */
	private static final double SLOWNESS_LIMIT = 3;

	/** Error rate above which a server is avoided. */
	private static final double ERROR_RATE_LIMIT = 0.3;

	/**
	 * Time since a server was last chosen by this daemon after which it may get a trial
	 * request, so that its recovery or improvement is noticed.
	 */
	private static final long TRIAL_AFTER_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * Share of this daemon's lookups that may be trials. With little traffic, a daemon
	 * always has some server that it has not chosen for a long time.
	 */
	private static final double TRIAL_SHARE = 0.01;

	/**
	 * Share of the time observed at a server that a choice by reports expects there at
	 * least, so that a slow server gains little by reporting that it is idle.
	 */
	private static final double MIN_OBSERVED_SHARE = 0.5;

	/**
	 * Number of candidates up to which all are compared. Of more, a random half is
	 * compared, so that daemons with the same reports don't all choose the same server.
	 */
	private static final int COMPARE_ALL = 2;

	/** Random variation that decides between servers expected to be equally quick. */
	private static final double TIE_VARIATION = 0.02;

	/** Time without requests after which an instance's statistics are dropped. */
	private static final long FORGET_AFTER_NANOS = Duration.ofMinutes(1).toNanos();

	private final Map<InstanceId, ServerStatistics> servers = new HashMap<>();

	private final ClassServiceTimes times = new ClassServiceTimes();

	private final LoadReports reports;

	private final RandomGenerator random;

	private int daemonCount;

	private double trialCredit = 1;

	private long latestNanos;

	/**
	 * Creates a chooser without observations.
	 * @param daemonCount number of daemons that choose among the same servers, at least
	 * 1: each request of this daemon in flight represents that many requests
	 * @param random breaks ties, so that daemons don't all choose the same server
	 */
	public BackendChooser(int daemonCount, RandomGenerator random) {
		this(daemonCount, random, new LoadReports());
	}

	BackendChooser(int daemonCount, RandomGenerator random, LoadReports reports) {
		this.daemonCount = daemonCount;
		this.random = random;
		this.reports = reports;
	}

	/**
	 * Chooses a server and counts the request as in flight there.
	 * @param candidates the servers that may take the request
	 * @param requestClass the class of the request
	 * @param now the current time, in nanoseconds
	 * @return empty only if there are no candidates
	 */
	public Optional<InstanceId> choose(List<Candidate> candidates, RequestClass requestClass, long now) {
		return chooseWithReason(candidates, requestClass, "", now).map(Choice::instance);
	}

	/**
	 * Chooses a server like {@link #choose} and also returns the reason.
	 * @param candidates the servers that may take the request
	 * @param requestClass the class of the request
	 * @param route its route; empty if unknown
	 * @param now the current time, in nanoseconds
	 * @return empty only if there are no candidates
	 */
	public Optional<Choice> chooseWithReason(List<Candidate> candidates, RequestClass requestClass, String route,
			long now) {
		this.latestNanos = now;
		forgetUnused(candidates);
		Set<InstanceId> avoided = avoided(candidates, now);
		Optional<Candidate> quickest = this.reports.active()
				? quickestByReports(candidates, avoided, requestClass, route, now)
				: quickest(candidates, avoided, requestClass, route, now);
		Optional<Choice> chosen = trial(candidates, quickest, requestClass, now)
			.map((candidate) -> new Choice(candidate.instance(), Choice.Reason.TRIAL))
			.or(() -> quickest.map((candidate) -> new Choice(candidate.instance(), Choice.Reason.QUICKEST)));
		chosen.ifPresent((choice) -> onChosen(choice.instance(), requestClass, route, now));
		return chosen;
	}

	/**
	 * Counts a request as in flight at a server that was chosen by other means.
	 * @param instance the server
	 * @param requestClass the class of the request
	 * @param route its route; empty if unknown
	 * @param now the current time, in nanoseconds
	 */
	public void onChosen(InstanceId instance, RequestClass requestClass, String route, long now) {
		server(instance).chosen(now);
		this.reports.onChosen(instance, requestClass, route, now);
	}

	/**
	 * Records what a server's gate reported with the outcome of a request.
	 * @param instance the server
	 * @param incarnation the known incarnation of the server; reports of an earlier one
	 * are dropped
	 * @param requestClass the class of the request
	 * @param route its route
	 * @param report the report
	 * @param now the current time, in nanoseconds
	 */
	public void onReport(InstanceId instance, Optional<BackendIncarnation> incarnation, RequestClass requestClass,
			String route, GateReport report, long now) {
		this.reports.onReport(instance, incarnation, requestClass, route, report, now);
	}

	/**
	 * Records the size of an answer. Large answers wait for the network link of the
	 * server's instance.
	 * @param route the route of the request
	 * @param bytes size of the body, in bytes
	 */
	public void onAnswer(String route, int bytes) {
		this.reports.onAnswer(route, bytes);
	}

	/**
	 * Returns whether reports are used: routes differ in cost or servers in speed.
	 * @return true if so
	 */
	public boolean usesReports() {
		return this.reports.active();
	}

	/**
	 * Sets the number of daemons that choose among the same servers.
	 * @param daemons the number, at least 1
	 */
	public void daemonCount(int daemons) {
		this.daemonCount = daemons;
	}

	/**
	 * Returns the number of daemons that choose among the same servers.
	 * @return at least 1
	 */
	public int daemonCount() {
		return this.daemonCount;
	}

	/**
	 * Records the outcome of a chosen request of an unknown route.
	 * @param instance the server that received it
	 * @param requestClass the class of the request
	 * @param tookNanos time from sending to completion, without the round trip, in
	 * nanoseconds
	 * @param failed whether the server failed; a refusal counts as a failure
	 */
	public void onEnded(InstanceId instance, RequestClass requestClass, long tookNanos, boolean failed) {
		onEnded(instance, requestClass, "", tookNanos, failed);
	}

	/**
	 * Records the outcome of a chosen request.
	 * @param instance the server that received it
	 * @param requestClass the class of the request
	 * @param route its route; empty if unknown
	 * @param tookNanos time from sending to completion, without the round trip, in
	 * nanoseconds
	 * @param failed whether the server failed; a refusal counts as a failure
	 */
	public void onEnded(InstanceId instance, RequestClass requestClass, String route, long tookNanos, boolean failed) {
		double relative = failed ? 1 : this.times.relative(requestClass, route, tookNanos);
		server(instance).ended(relative, failed, this.latestNanos);
	}

	/**
	 * Records that a chosen request could not run at once and was not queued.
	 * @param instance the server without a free slot
	 * @param wait how long it would have waited there
	 * @param now the current time, in nanoseconds
	 */
	public void onFull(InstanceId instance, Duration wait, long now) {
		server(instance).full(now + wait.toNanos());
	}

	/**
	 * Removes a chosen request whose caller has disconnected.
	 * @param instance the server that received it
	 */
	public void onCancelled(InstanceId instance) {
		server(instance).cancelled();
	}

	// A resend excludes the servers that already received the request, so a server that
	// is no candidate now may be one for the next request.
	private void forgetUnused(List<Candidate> candidates) {
		if (this.servers.size() > candidates.size()) {
			this.servers.values()
				.removeIf((server) -> server.inFlight() == 0
						&& this.latestNanos - server.lastChosenNanos() > FORGET_AFTER_NANOS);
		}
	}

	// Never excludes more than half of the servers: when most look bad the cause is
	// shared, and sending everything to the last one would overload it as well.
	private Set<InstanceId> avoided(List<Candidate> candidates, long now) {
		double median = candidates.stream()
			.mapToDouble((each) -> server(each.instance()).slowness(now))
			.sorted()
			.skip((candidates.size() - 1) / 2)
			.findFirst()
			.orElse(1);
		Set<InstanceId> avoided = new HashSet<>();
		candidates.stream()
			.map(Candidate::instance)
			.filter((each) -> server(each).errorRate(now) > ERROR_RATE_LIMIT
					|| server(each).slowness(now) > SLOWNESS_LIMIT * median)
			.sorted(Comparator.comparingDouble((InstanceId each) -> penalty(server(each), now)).reversed())
			.limit(candidates.size() / 2)
			.forEach(avoided::add);
		return avoided;
	}

	private static double penalty(ServerStatistics server, long now) {
		return server.slowness(now) / (1.01 - server.errorRate(now));
	}

	private Optional<Candidate> trial(List<Candidate> candidates, Optional<Candidate> quickest,
			RequestClass requestClass, long now) {
		// A posting that fails can't be resent, so postings are never used as trials.
		if (!requestClass.isIdempotent()) {
			return Optional.empty();
		}
		this.trialCredit = Math.min(1, this.trialCredit + TRIAL_SHARE);
		if (this.trialCredit < 1) {
			return Optional.empty();
		}
		Optional<Candidate> longestUnchosen = candidates.stream()
			.filter((each) -> !quickest.equals(Optional.of(each)))
			.filter((each) -> server(each.instance()).inFlight() == 0)
			.filter((each) -> now - server(each.instance()).lastChosenNanos() >= TRIAL_AFTER_NANOS)
			.map((each) -> new Scored(each, server(each.instance()).lastChosenNanos(), this.random.nextDouble()))
			.min(Comparator.comparingDouble(Scored::score).thenComparingDouble(Scored::tieBreaker))
			.map(Scored::candidate);
		longestUnchosen.ifPresent((each) -> this.trialCredit = 0);
		return longestUnchosen;
	}

	private Optional<Candidate> quickest(List<Candidate> candidates, Set<InstanceId> avoided, RequestClass requestClass,
			String route, long now) {
		return candidates.stream()
			.filter((each) -> !avoided.contains(each.instance()))
			.map((each) -> new Scored(each, expectedNanos(each, server(each.instance()), requestClass, route, now),
					this.random.nextDouble()))
			.min(Comparator.comparingDouble(Scored::score).thenComparingDouble(Scored::tieBreaker))
			.map(Scored::candidate);
	}

	private Optional<Candidate> quickestByReports(List<Candidate> candidates, Set<InstanceId> avoided,
			RequestClass requestClass, String route, long now) {
		int left = candidates.size() - avoided.size();
		int toCompare = (left <= COMPARE_ALL) ? left : Math.max(COMPARE_ALL, (left + 1) / 2);
		Candidate best = null;
		double bestNanos = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			if (avoided.contains(candidate.instance())) {
				continue;
			}
			boolean compared = this.random.nextInt(left) < toCompare;
			left--;
			if (!compared) {
				continue;
			}
			toCompare--;
			double nanos = blendedNanos(candidate, requestClass, route, now)
					* (1 + TIE_VARIATION * this.random.nextDouble());
			if (nanos < bestNanos) {
				bestNanos = nanos;
				best = candidate;
			}
		}
		return Optional.ofNullable(best);
	}

	private double blendedNanos(Candidate candidate, RequestClass requestClass, String route, long now) {
		ServerStatistics server = server(candidate.instance());
		double own = expectedNanos(candidate, server, requestClass, route, now);
		ReportedServer reported = this.reports.server(candidate.instance()).orElse(null);
		double mean = this.reports.mean(requestClass, route);
		if (reported == null || mean <= 0) {
			return own;
		}
		double run = mean * reported.slowness();
		double concurrency = Math.min(reported.slots(), candidate.concurrency(run));
		double busy = reported.workNanos(now) / concurrency + Math.max(0, server.fullUntilNanos() - now);
		double observed = this.times.mean(requestClass, route) * server.slowness(now);
		double there = Math.max(MIN_OBSERVED_SHARE * observed, busy + run) / (1.01 - server.errorRate(now));
		double byReport = candidate.roundTrip().toNanos() + there + this.reports.linkWaitNanos(reported, route, now);
		return own + reported.weight(now) * (byReport - own);
	}

	private double expectedNanos(Candidate candidate, ServerStatistics server, RequestClass requestClass, String route,
			long now) {
		double run = this.times.mean(requestClass, route) * server.slowness(now);
		double busy = server.inFlight() * this.daemonCount / candidate.concurrency(run);
		long wait = Math.max(0, server.fullUntilNanos() - now);
		return candidate.roundTrip().toNanos() + wait + run * (1 + busy) / (1.01 - server.errorRate(now));
	}

	private ServerStatistics server(InstanceId instance) {
		return this.servers.computeIfAbsent(instance, (key) -> new ServerStatistics());
	}

	private record Scored(Candidate candidate, double score, double tieBreaker) {

	}

}
