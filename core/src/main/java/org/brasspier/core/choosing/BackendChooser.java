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

/**
 * Chooses a backend server for each request of a service that is not divided by key, by
 * the time in which the answer can be expected: what was observed of the server, what
 * this daemon has in flight there, and the way to it. Reported load is not used, since it
 * lags or misleads. Not thread-safe.
 */
public final class BackendChooser {

	/**
	 * A server this many times slower than the middle one is avoided. Below three, queues
	 * and chance would avoid servers that are well.
	 */
	private static final double SLOW = 3;

	/** A server whose answers fail more often than this is avoided. */
	private static final double FAILING = 0.3;

	/**
	 * A server that this daemon has not chosen for so long may be tried, so that it's
	 * seen when it is well again or has become the quicker one.
	 */
	private static final long TRIAL_AFTER_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * The share of this daemon's lookups that may be trials. With little traffic each
	 * daemon has always some server that it has not chosen for long.
	 */
	private static final double TRIAL_SHARE = 0.01;

	/** An instance that nothing was sent to for so long is forgotten. */
	private static final long FORGET_AFTER_NANOS = Duration.ofMinutes(1).toNanos();

	private final Map<InstanceId, ServerStatistics> servers = new HashMap<>();

	private final ClassServiceTimes times = new ClassServiceTimes();

	private final RandomGenerator random;

	private int daemonCount;

	private double trialAllowance = 1;

	private long latestNanos;

	/**
	 * Creates a chooser that has observed nothing.
	 * @param choosers how many daemons choose among the same servers, at least 1: this
	 * one's requests in flight stand for that many times as many
	 * @param random breaks ties, so that daemons don't all choose the same server
	 */
	public BackendChooser(int choosers, RandomGenerator random) {
		this.daemonCount = choosers;
		this.random = random;
	}

	/**
	 * Chooses a server and counts the request as in flight there.
	 * @param candidates the servers that may take it
	 * @param requestClass its class
	 * @param now the time, in nanoseconds
	 * @return empty only if there are no candidates
	 */
	public Optional<InstanceId> choose(List<Candidate> candidates, RequestClass requestClass, long now) {
		return chooseWithReason(candidates, requestClass, now).map(Choice::instance);
	}

	/**
	 * Does the same as {@link #choose} and tells why the server was chosen.
	 * @param candidates the servers that may take it
	 * @param requestClass its class
	 * @param now the time, in nanoseconds
	 * @return empty only if there are no candidates
	 */
	public Optional<Choice> chooseWithReason(List<Candidate> candidates, RequestClass requestClass, long now) {
		this.latestNanos = now;
		forgetUnused(candidates);
		Set<InstanceId> avoided = avoided(candidates, now);
		Optional<Candidate> quickest = quickest(candidates, avoided, requestClass, now);
		Optional<Choice> chosen = trial(candidates, quickest, requestClass, now)
			.map((candidate) -> new Choice(candidate.instance(), Choice.Reason.TRIAL))
			.or(() -> quickest.map((candidate) -> new Choice(candidate.instance(), Choice.Reason.QUICKEST)));
		chosen.ifPresent((choice) -> server(choice.instance()).chosen(now));
		return chosen;
	}

	/**
	 * Counts a request as in flight at a server that was chosen otherwise.
	 * @param instance the server
	 * @param now the time, in nanoseconds
	 */
	public void onChosen(InstanceId instance, long now) {
		server(instance).chosen(now);
	}

	/**
	 * Takes how many daemons choose among the same servers from now on.
	 * @param daemons how many, at least 1
	 */
	public void daemonCount(int daemons) {
		this.daemonCount = daemons;
	}

	/**
	 * How many daemons are reckoned with.
	 * @return at least 1
	 */
	public int daemonCount() {
		return this.daemonCount;
	}

	/**
	 * Takes what came of a chosen request.
	 * @param instance the server that had it
	 * @param requestClass its class
	 * @param tookNanos from handing it over to its end, without the way
	 * @param failed whether the server failed it; a refusal is a failure too
	 */
	public void onEnded(InstanceId instance, RequestClass requestClass, long tookNanos, boolean failed) {
		double relative = failed ? 1 : this.times.relative(requestClass, tookNanos);
		server(instance).ended(relative, failed, this.latestNanos);
	}

	/**
	 * Takes that a chosen request could not run at once and was not left to wait.
	 * @param instance the server without a free slot
	 * @param wait how long it would have waited there
	 * @param now the time, in nanoseconds
	 */
	public void onFull(InstanceId instance, Duration wait, long now) {
		server(instance).full(now + wait.toNanos());
	}

	/**
	 * Forgets a chosen request whose caller is gone.
	 * @param instance the server that had it
	 */
	public void onCancelled(InstanceId instance) {
		server(instance).cancelled();
	}

	// A request that is sent once more leaves out the servers that had it, so who is no
	// candidate now may be one for the next request.
	private void forgetUnused(List<Candidate> candidates) {
		if (this.servers.size() > candidates.size()) {
			this.servers.values()
				.removeIf((server) -> server.inFlight() == 0
						&& this.latestNanos - server.lastChosenNanos() > FORGET_AFTER_NANOS);
		}
	}

	// Never more than half of the servers: when most look bad the cause is shared, and
	// sending everything to the last one would fell it too.
	private Set<InstanceId> avoided(List<Candidate> candidates, long now) {
		double middle = candidates.stream()
			.mapToDouble((each) -> server(each.instance()).slowness(now))
			.sorted()
			.skip((candidates.size() - 1) / 2)
			.findFirst()
			.orElse(1);
		Set<InstanceId> avoided = new HashSet<>();
		candidates.stream()
			.map(Candidate::instance)
			.filter((each) -> server(each).errors(now) > FAILING || server(each).slowness(now) > SLOW * middle)
			.sorted(Comparator.comparingDouble((InstanceId each) -> badness(server(each), now)).reversed())
			.limit(candidates.size() / 2)
			.forEach(avoided::add);
		return avoided;
	}

	private static double badness(ServerStatistics server, long now) {
		return server.slowness(now) / (1.01 - server.errors(now));
	}

	private Optional<Candidate> trial(List<Candidate> candidates, Optional<Candidate> quickest,
			RequestClass requestClass, long now) {
		// A posting that fails on trial can't be sent again, so it is no trial.
		if (!requestClass.isIdempotent()) {
			return Optional.empty();
		}
		this.trialAllowance = Math.min(1, this.trialAllowance + TRIAL_SHARE);
		if (this.trialAllowance < 1) {
			return Optional.empty();
		}
		Optional<Candidate> longestUnchosen = candidates.stream()
			.filter((each) -> !quickest.equals(Optional.of(each)))
			.filter((each) -> server(each.instance()).inFlight() == 0)
			.filter((each) -> now - server(each.instance()).lastChosenNanos() >= TRIAL_AFTER_NANOS)
			.map((each) -> new Scored(each, server(each.instance()).lastChosenNanos(), this.random.nextDouble()))
			.min(Comparator.comparingDouble(Scored::nanos).thenComparingDouble(Scored::lot))
			.map(Scored::candidate);
		longestUnchosen.ifPresent((each) -> this.trialAllowance = 0);
		return longestUnchosen;
	}

	private Optional<Candidate> quickest(List<Candidate> candidates, Set<InstanceId> avoided, RequestClass requestClass,
			long now) {
		return candidates.stream()
			.filter((each) -> !avoided.contains(each.instance()))
			.map((each) -> new Scored(each, expectedNanos(each, requestClass, now), this.random.nextDouble()))
			.min(Comparator.comparingDouble(Scored::nanos).thenComparingDouble(Scored::lot))
			.map(Scored::candidate);
	}

	private double expectedNanos(Candidate candidate, RequestClass requestClass, long now) {
		ServerStatistics server = server(candidate.instance());
		double run = this.times.mean(requestClass) * server.slowness(now);
		double busy = server.inFlight() * this.daemonCount / (candidate.slots() * candidate.warmShare());
		long wait = Math.max(0, server.fullUntilNanos() - now);
		return candidate.roundTrip().toNanos() + wait + run * (1 + busy) / (1.01 - server.errors(now));
	}

	private ServerStatistics server(InstanceId instance) {
		return this.servers.computeIfAbsent(instance, (key) -> new ServerStatistics());
	}

	private record Scored(Candidate candidate, double nanos, double lot) {

	}

}
