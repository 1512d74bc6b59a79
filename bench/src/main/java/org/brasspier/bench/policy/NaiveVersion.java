package org.brasspier.bench.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * What one would write first: hash modulo servers, one unbounded first-come queue, the
 * reported load believed, a part moved whenever the shares differ; callers send again at
 * once, three times. Not thread-safe.
 */
final class NaiveVersion implements Version {

	private static final int BUCKETS = 64;

	private static final long REPORT_NANOS = 5 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Callers callers;

	private final Outcomes outcomes;

	private final List<SlotServer> servers;

	private final Churn churn = new Churn();

	private final int[] owner = IntStream.range(0, BUCKETS).toArray();

	private final long[] closedUntil = new long[BUCKETS];

	private int alive;

	NaiveVersion(Run run) {
		this.time = run.time();
		this.deployment = run.deployment();
		this.callers = run.callers();
		this.outcomes = run.outcomes();
		this.servers = run.servers();
		this.alive = this.servers.size();
		assign();
		if (run.load().byKey()) {
			this.time.every(REPORT_NANOS, this::report);
		}
		if (run.load().trouble().lostAt() != Long.MAX_VALUE) {
			this.time.at(run.load().trouble().lostAt(), this::loseLast);
		}
	}

	private void assign() {
		IntStream.range(0, BUCKETS).forEach((bucket) -> this.owner[bucket] = bucket % this.alive);
	}

	private void loseLast() {
		this.servers.getLast().lose();
		this.time.after(Ownership.RECOVERY_NANOS, () -> {
			int[] before = this.owner.clone();
			this.alive--;
			assign();
			IntStream.range(0, BUCKETS)
				.filter((bucket) -> before[bucket] != this.owner[bucket])
				.forEach((bucket) -> close(bucket, MoveCause.LOSS));
		});
	}

	private void report() {
		List<Integer> reported = this.servers.stream().limit(this.alive).map(SlotServer::load).toList();
		this.time.after(REPORT_NANOS, () -> moveOne(reported));
	}

	private void moveOne(List<Integer> reported) {
		List<Integer> byLoad = IntStream.range(0, Math.min(this.alive, reported.size()))
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
			close(bucket.get(), MoveCause.BALANCE);
		}
	}

	private void close(int bucket, MoveCause cause) {
		this.churn.moved(cause, 1.0 / BUCKETS);
		this.closedUntil[bucket] = this.time.now() + ((cause == MoveCause.LOSS) ? 0 : Ownership.MOVE_NANOS);
	}

	@Override
	public void arrived(Attempt attempt) {
		int bucket = (int) (attempt.call().hash().point() % BUCKETS);
		long way = (this.owner[bucket] == attempt.call().entry()) ? 0 : this.deployment.domainNanos();
		this.time.after(way, () -> atOwner(attempt, bucket, way));
	}

	private void atOwner(Attempt attempt, int bucket, long way) {
		long arrived = this.time.now();
		if (arrived < this.closedUntil[bucket]) {
			this.callers.fail(attempt, GatedServer.noOwner(), arrived);
			return;
		}
		int server = this.owner[bucket];
		this.servers.get(server).run(attempt, () -> {
			if (server > 0 && !attempt.over()) {
				this.outcomes.answeredElsewhere(attempt, this.time.now() + way + this.deployment.callerNanos());
			}
			this.callers.answer(attempt, way);
		}, () -> this.callers.fail(attempt, GatedServer.noOwner(), arrived));
	}

	@Override
	public void callerGone(Attempt attempt) {
		// The server works on: nobody tells it.
	}

	@Override
	public long resendAfter(long retryAfterNanos) {
		return 0;
	}

	@Override
	public boolean resendsAll() {
		return true;
	}

	@Override
	public Churn churn() {
		return this.churn;
	}

}
