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
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.mesh.MeshAdapter;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Decides how this daemon follows the store: as one of the few readers that read it for
 * all others, through two of these readers, or by itself if it receives updates from
 * neither of them. Not thread-safe; confined to the request thread.
 */
final class StoreFollowing {

	private static final String NEWER_ROWS_FROM_PEER = "another daemon told newer rows";

	private static final String PEER_LOST_STORE = "the store no longer answers another daemon";

	/** Short, since configurations change rarely and must be in force soon. */
	private static final Duration CONFIG_BATCH_DELAY = Duration.ofMillis(200);

	/**
	 * Longer, since rows of the daemons change in groups, for example when instances
	 * start or keys move, and a daemon that writes a row sends it directly to the
	 * readers.
	 */
	private static final Duration MESH_BATCH_DELAY = Duration.ofSeconds(1);

	private static final Duration STEP_INTERVAL = Duration.ofMillis(200);

	private static final long POLL_INTERVAL_NANOS = FollowedReaders.POLL_INTERVAL.toNanos();

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

	private final Map<InstanceId, Long> lastRequestNanos = new HashMap<>();

	private List<ReaderChoice.Candidate> candidates = List.of();

	private ReaderChoice readerChoice;

	private boolean readsStore = true;

	StoreFollowing(NioReactor reactor, MeshSettings settings, MeshAdapter adapter, ConfigHolder config,
			EvacuationRows evacuations, Directory directory, HopClient hops, SharedRows rows, StoreHealth health,
			MeshLog log) {
		this.reactor = reactor;
		this.self = new ReaderChoice.Candidate(settings.instance(), settings.failureDomain(), settings.linkMegabits());
		this.directory = directory;
		this.hops = hops;
		this.rows = rows;
		this.configFeed = new TableFeed(reactor, adapter.store(), adapter.config().table(), CONFIG_BATCH_DELAY,
				this::nextWait, health, log, (read, wholeTable) -> applyFromStore(read, () -> {
					evacuations.apply(read, wholeTable);
					config.apply(read, ConfigHolder.Origin.STORE);
				}));
		this.meshFeed = new TableFeed(reactor, adapter.store(), StoredRows.MESH, MESH_BATCH_DELAY, this::nextWait,
				health, log, (read, wholeTable) -> applyFromStore(read, () -> directory.apply(read, wholeTable)));
		this.followers = new RowFollowers(reactor, this::missingRows);
		this.readers = new FollowedReaders(settings.instance());
		this.log = log;
		this.readerChoice = ReaderChoice.of(this.self, List.of());
		this.configFeed.setFallback(this::isFallback);
		this.meshFeed.setFallback(this::isFallback);
		this.configFeed.addSuspicionListener(this.followers::notifyFollowers);
		this.meshFeed.addSuspicionListener(this.followers::notifyFollowers);
		directory.addWriteListener(this::forwardWrittenRow);
		rows.addRowsListener(this.followers::notifyFollowers);
		rows.addNewerRowsListener(() -> this.configFeed.expectChange(NEWER_ROWS_FROM_PEER),
				() -> this.meshFeed.expectChange(NEWER_ROWS_FROM_PEER));
	}

	private void applyFromStore(MetadataStore.Rows read, Runnable apply) {
		KnownRows before = this.rows.knownVersions();
		apply.run();
		if (!read.rows().isEmpty() || !this.rows.knownVersions().equals(before)) {
			this.followers.notifyFollowers();
		}
	}

	RowFollowers followers() {
		return this.followers;
	}

	void start() {
		this.configFeed.start();
		this.meshFeed.start();
		scheduleStep();
	}

	private void scheduleStep() {
		this.reactor.delayBackground(STEP_INTERVAL, () -> {
			scheduleStep();
			step();
		});
	}

	// Spreads the ends of the long polls of all daemons that follow the store over time.
	private Duration nextWait(FeedTiming timing) {
		if (this.readerChoice.isReader()) {
			return timing.nextWait(this.readerChoice.position(), this.readerChoice.readers().size());
		}
		int position = this.directory.position(this.self.instance());
		return timing.nextWait(position, Math.max(position + 1, this.directory.size()));
	}

	private boolean isFallback() {
		return !this.readerChoice.isReader() && !this.followers.hasFollowers();
	}

	private KnownRows completeVersions() {
		return new KnownRows(Math.max(0, this.configFeed.version()), Math.max(0, this.meshFeed.version()));
	}

	// Sends the row directly to the readers, which forward it to their followers.
	private void forwardWrittenRow(MetadataStore.Row row) {
		HopMessage.RowsResponse update = new HopMessage.RowsResponse(List.of(), List.of(row));
		this.readerChoice.readers()
			.stream()
			.filter((reader) -> !reader.equals(this.self.instance()))
			.flatMap((reader) -> this.directory.member(reader).stream())
			.forEach((reader) -> this.hops.sendOneWay(reader, update));
		this.followers.notifyFollowers();
	}

	private HopMessage.RowChanges missingRows(KnownRows known) {
		boolean current = this.configFeed.isCurrent() && this.meshFeed.isCurrent();
		return new HopMessage.RowChanges(known, completeVersions(), current, this.rows.missingRows(known));
	}

	private void step() {
		long now = System.nanoTime();
		updateReaderChoice(candidates(now));
		this.lastRequestNanos.keySet().retainAll(this.readerChoice.followed());
		this.readerChoice.followed()
			.stream()
			.filter((reader) -> now
					- this.lastRequestNanos.getOrDefault(reader, now - POLL_INTERVAL_NANOS) >= POLL_INTERVAL_NANOS)
			.flatMap((reader) -> this.directory.member(reader).stream())
			.forEach((reader) -> follow(reader, now));
		updateFeeds(now);
	}

	private void updateReaderChoice(List<ReaderChoice.Candidate> candidates) {
		if (!candidates.equals(this.candidates)) {
			this.candidates = candidates;
			this.readerChoice = ReaderChoice.of(this.self, candidates);
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
		this.lastRequestNanos.put(instance, now);
		this.hops
			.follow(reader, new HopMessage.FollowRequest(completeVersions(), this.readsStore),
					(changes) -> onRowChanges(instance, changes))
			.whenResult((answer) -> {
				if (answer.isEmpty()) {
					this.readers.onUnreachable(instance);
				}
			});
	}

	private void onRowChanges(InstanceId reader, HopMessage.RowChanges changes) {
		this.rows.apply(changes.rows());
		this.configFeed.advance(changes.after().config(), changes.upTo().config());
		this.meshFeed.advance(changes.after().mesh(), changes.upTo().mesh());
		if (this.readers.onReport(reader, changes.storeReachable(), System.nanoTime())) {
			this.configFeed.markSuspect(PEER_LOST_STORE);
			this.meshFeed.markSuspect(PEER_LOST_STORE);
		}
	}

	private void updateFeeds(long now) {
		boolean shouldRead = this.readerChoice.isReader() || this.followers.hasFollowers()
				|| !this.readers.receivesUpdates(this.readerChoice.followed(), now);
		if (shouldRead != this.readsStore) {
			this.readsStore = shouldRead;
			this.log.record(MeshEvent.STORE_FOLLOWED, "by_itself", shouldRead, "readers",
					this.readerChoice.readers().size(), "followed", this.readerChoice.followed());
		}
		if (shouldRead) {
			this.configFeed.resume();
			this.meshFeed.resume();
		}
		else {
			this.configFeed.pause();
			this.meshFeed.pause();
		}
	}

}
