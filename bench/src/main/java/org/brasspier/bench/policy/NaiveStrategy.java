package org.brasspier.bench.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * The naive strategy that the policy is compared with: hash modulo servers, one unbounded
 * FIFO queue per server, trust in the reported load, and a bucket moved whenever the
 * loads differ. Callers retry immediately, up to three times. Not thread-safe.
 */
final class NaiveStrategy implements ServingStrategy {

	private static final int BUCKETS = 64;

	private static final long REPORT_INTERVAL_NANOS = 5 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Callers callers;

	private final OutcomeRecorder outcomes;

	private final List<SimulatedServer> servers;

	private final Churn churn = new Churn();

	private final int[] owner = IntStream.range(0, BUCKETS).toArray();

	private final long[] unavailableUntilNanos = new long[BUCKETS];

	private int aliveServers;

	NaiveStrategy(Simulation run) {
		this.time = run.time();
		this.deployment = run.deployment();
		this.callers = run.callers();
		this.outcomes = run.outcomes();
		this.servers = run.servers();
		this.aliveServers = this.servers.size();
		assignBuckets();
		if (run.load().sharded()) {
			this.time.scheduleEvery(REPORT_INTERVAL_NANOS, this::reportLoad);
		}
		if (run.load().faults().lostAtNanos() != Long.MAX_VALUE) {
			this.time.scheduleAt(run.load().faults().lostAtNanos(), this::crashLastServer);
		}
	}

	private void assignBuckets() {
		IntStream.range(0, BUCKETS).forEach((bucket) -> this.owner[bucket] = bucket % this.aliveServers);
	}

	private void crashLastServer() {
		this.servers.getLast().crash();
		this.time.scheduleAfter(RangeOwnership.RECOVERY_NANOS, () -> {
			int[] previousOwner = this.owner.clone();
			this.aliveServers--;
			assignBuckets();
			IntStream.range(0, BUCKETS)
				.filter((bucket) -> previousOwner[bucket] != this.owner[bucket])
				.forEach((bucket) -> recordMove(bucket, MoveCause.LOSS));
		});
	}

	private void reportLoad() {
		List<Integer> reported = this.servers.stream().limit(this.aliveServers).map(SimulatedServer::load).toList();
		this.time.scheduleAfter(REPORT_INTERVAL_NANOS, () -> moveBucket(reported));
	}

	private void moveBucket(List<Integer> reported) {
		List<Integer> byLoad = IntStream.range(0, Math.min(this.aliveServers, reported.size()))
			.boxed()
			.sorted(Comparator.comparing(reported::get))
			.toList();
		int idle = byLoad.getFirst();
		int busy = byLoad.getLast();
		Optional<Integer> bucket = IntStream.range(0, BUCKETS)
			.filter((each) -> this.owner[each] == busy)
			.boxed()
			.findFirst();
		if (!reported.get(idle).equals(reported.get(busy)) && bucket.isPresent()) {
			this.owner[bucket.get()] = idle;
			recordMove(bucket.get(), MoveCause.BALANCE);
		}
	}

	private void recordMove(int bucket, MoveCause cause) {
		this.churn.recordMove(cause, 1.0 / BUCKETS);
		this.unavailableUntilNanos[bucket] = this.time.now()
				+ ((cause == MoveCause.LOSS) ? 0 : RangeOwnership.MOVE_NANOS);
	}

	@Override
	public void onArrival(Attempt attempt) {
		int bucket = (int) (attempt.call().keyHash().point() % BUCKETS);
		long forwardNanos = (this.owner[bucket] == attempt.call().entryDaemon()) ? 0 : this.deployment.domainNanos();
		this.time.scheduleAfter(forwardNanos, () -> runAtOwner(attempt, bucket, forwardNanos));
	}

	private void runAtOwner(Attempt attempt, int bucket, long forwardNanos) {
		long arrivedNanos = this.time.now();
		if (arrivedNanos < this.unavailableUntilNanos[bucket]) {
			this.callers.deliverFailure(attempt, AdmissionServer.noOwnerFailure(), arrivedNanos);
			return;
		}
		int server = this.owner[bucket];
		this.servers.get(server).submit(attempt, () -> {
			if (server > 0 && !attempt.hasEnded()) {
				this.outcomes.recordAnsweredElsewhere(attempt,
						this.time.now() + forwardNanos + this.deployment.callerNanos());
			}
			this.callers.deliverAnswer(attempt, forwardNanos);
		}, () -> this.callers.deliverFailure(attempt, AdmissionServer.noOwnerFailure(), arrivedNanos));
	}

	@Override
	public void onCallerTimeout(Attempt attempt) {
		// The server isn't notified and continues to run the request.
	}

	@Override
	public long resendDelayNanos(long retryAfterNanos) {
		return 0;
	}

	@Override
	public boolean resendsEveryFailure() {
		return true;
	}

	@Override
	public Churn churn() {
		return this.churn;
	}

}
