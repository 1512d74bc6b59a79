package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.mesh.FeedTiming;
import org.brasspier.core.mesh.FollowedReaders;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.ReaderChoice;
import org.brasspier.daemon.mesh.MeshAdapter;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * How this daemon follows the store: as one of few that read it for all others, through
 * two of those, or by itself where it hears from neither. Belongs to the thread of
 * requests.
 */
final class StoreFollowing {

	private static final String TOLD_BY_PEER = "another daemon told newer rows";

	private static final String OTHER_UNANSWERED = "the store no longer answers another daemon";

	/** Configurations are rare, and have to be in force soon. */
	private static final Duration CONFIG_GATHER = Duration.ofMillis(200);

	/**
	 * Rows of the daemons change in groups, as when instances start or keys move, and
	 * whoever writes one tells the daemons that read for the others.
	 */
	private static final Duration MESH_GATHER = Duration.ofSeconds(1);

	private static final Duration STEP = Duration.ofMillis(200);

	private static final long ASK_EVERY_NANOS = FollowedReaders.POLL_INTERVAL.toNanos();

	private final NioReactor reactor;

	private final ReaderChoice.Candidate self;

	private final Directory directory;

	private final HopClient hops;

	private final SharedRows rows;

	private final TableFeed configFeed;

	private final TableFeed meshFeed;

	private final RowFollowers followers;

	private final FollowedReaders readers;

	private final MeshLog log;

	private final Map<InstanceId, Long> askedNanos = new HashMap<>();

	private List<ReaderChoice.Candidate> candidates = List.of();

	private ReaderChoice choice;

	private boolean following = true;

	StoreFollowing(NioReactor reactor, MeshSettings settings, MeshAdapter adapter, ConfigHolder config,
			Directory directory, HopClient hops, SharedRows rows, StoreHealth health, MeshLog log) {
		this.reactor = reactor;
		this.self = new ReaderChoice.Candidate(settings.instance(), settings.failureDomain(), settings.linkMegabits());
		this.directory = directory;
		this.hops = hops;
		this.rows = rows;
		this.configFeed = new TableFeed(reactor, adapter.store(), adapter.config().table(), CONFIG_GATHER,
				this::nextWait, health, log,
				(read, whole) -> taken(read, () -> config.apply(read, ConfigHolder.Origin.STORE)));
		this.meshFeed = new TableFeed(reactor, adapter.store(), StoredRows.MESH, MESH_GATHER, this::nextWait, health,
				log, (read, whole) -> taken(read, () -> directory.apply(read, whole)));
		this.followers = new RowFollowers(reactor, this::lacking);
		this.readers = new FollowedReaders(settings.instance());
		this.log = log;
		this.choice = ReaderChoice.of(this.self, List.of());
		this.configFeed.addSuspicionListener(this.followers::notifyFollowers);
		this.meshFeed.addSuspicionListener(this.followers::notifyFollowers);
		directory.addWriteListener(this::written);
		rows.addRowsListener(this.followers::notifyFollowers);
		rows.addNewerRowsListener(() -> this.configFeed.expectChange(TOLD_BY_PEER),
				() -> this.meshFeed.expectChange(TOLD_BY_PEER));
	}

	private void taken(MetadataStore.Rows read, Runnable take) {
		take.run();
		if (!read.rows().isEmpty()) {
			this.followers.notifyFollowers();
		}
	}

	RowFollowers followers() {
		return this.followers;
	}

	void start() {
		this.configFeed.start();
		this.meshFeed.start();
		later();
	}

	private void later() {
		this.reactor.delayBackground(STEP, () -> {
			step();
			later();
		});
	}

	// The ends of the calls of all that follow the store are spread over time.
	private Duration nextWait(FeedTiming pace) {
		if (this.choice.isReader()) {
			return pace.nextWait(this.choice.position(), this.choice.readers().size());
		}
		int position = this.directory.position(this.self.instance());
		return pace.nextWait(position, Math.max(position + 1, this.directory.size()));
	}

	private KnownRows complete() {
		return new KnownRows(Math.max(0, this.configFeed.version()), Math.max(0, this.meshFeed.version()));
	}

	// Those that read for the others know at once and pass it on.
	private void written(MetadataStore.Row row) {
		HopMessage.RowsResponse told = new HopMessage.RowsResponse(List.of(), List.of(row));
		this.choice.readers()
			.stream()
			.filter((reader) -> !reader.equals(this.self.instance()))
			.flatMap((reader) -> this.directory.member(reader).stream())
			.forEach((reader) -> this.hops.sendOneWay(reader, told));
		this.followers.notifyFollowers();
	}

	private HopMessage.RowChanges lacking(KnownRows known) {
		boolean current = this.configFeed.isCurrent() && this.meshFeed.isCurrent();
		return new HopMessage.RowChanges(known, complete(), current, this.rows.missingRows(known));
	}

	private void step() {
		long now = System.nanoTime();
		choose(candidates(now));
		this.askedNanos.keySet().retainAll(this.choice.followed());
		this.choice.followed()
			.stream()
			.filter((reader) -> now - this.askedNanos.getOrDefault(reader, now - ASK_EVERY_NANOS) >= ASK_EVERY_NANOS)
			.flatMap((reader) -> this.directory.member(reader).stream())
			.forEach((reader) -> follow(reader, now));
		decide(now);
	}

	private void choose(List<ReaderChoice.Candidate> candidates) {
		if (!candidates.equals(this.candidates)) {
			this.candidates = candidates;
			this.choice = ReaderChoice.of(this.self, candidates);
		}
	}

	private List<ReaderChoice.Candidate> candidates(long now) {
		return this.directory.reachable()
			.filter(Member::passesRows)
			.filter((member) -> !this.hops.shouldAvoid(member.instance(), now))
			.map((member) -> new ReaderChoice.Candidate(member.instance(), member.failureDomain(),
					member.linkMegabits()))
			.toList();
	}

	private void follow(Member reader, long now) {
		InstanceId instance = reader.instance();
		this.askedNanos.put(instance, now);
		this.hops
			.follow(reader, new HopMessage.FollowRequest(complete(), this.following),
					(passed) -> take(instance, passed))
			.whenResult((answer) -> {
				if (answer.isEmpty()) {
					this.readers.onUnreachable(instance);
				}
			});
	}

	private void take(InstanceId reader, HopMessage.RowChanges passed) {
		this.rows.apply(passed.rows());
		this.configFeed.advance(passed.after().config(), passed.upTo().config());
		this.meshFeed.advance(passed.after().mesh(), passed.upTo().mesh());
		if (this.readers.onReport(reader, passed.storeReachable(), System.nanoTime())) {
			this.configFeed.markSuspect(OTHER_UNANSWERED);
			this.meshFeed.markSuspect(OTHER_UNANSWERED);
		}
	}

	private void decide(long now) {
		boolean follow = this.choice.isReader() || this.followers.hasFollowers()
				|| !this.readers.receivesUpdates(this.choice.followed(), now);
		if (follow != this.following) {
			this.following = follow;
			this.log.record(MeshEvent.STORE_FOLLOWED, "by_itself", follow, "readers", this.choice.readers().size(),
					"followed", this.choice.followed());
		}
		if (follow) {
			this.configFeed.resume();
			this.meshFeed.resume();
		}
		else {
			this.configFeed.pause();
			this.meshFeed.pause();
		}
	}

}
