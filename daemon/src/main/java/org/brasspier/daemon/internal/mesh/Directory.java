package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * What this daemon knows of the others and of who holds which keys, from their rows in
 * the platform's store. Goes on with what it knows while the store is away. Belongs to
 * the thread of requests.
 */
final class Directory {

	private final MeshLog log;

	private final Map<InstanceId, Entry<Member>> members = new HashMap<>();

	private final Map<ServiceName, Entry<KeyMap>> keys = new HashMap<>();

	private final Map<InstanceId, Entry<CrashState>> crashes = new HashMap<>();

	private final Map<ServiceName, List<Member>> serving = new HashMap<>();

	private final Map<InetSocketAddress, Long> newestAt = new HashMap<>();

	private List<Member> reachable = List.of();

	private boolean indexed;

	private long newestVersion;

	private final List<Runnable> listeners = new ArrayList<>();

	private Runnable taken = () -> {
	};

	private Consumer<MetadataStore.Row> written = (row) -> {
	};

	private BiConsumer<InstanceId, CrashState> crashesTold = (instance, notes) -> {
	};

	private boolean known;

	Directory(MeshLog log) {
		this.log = log;
	}

	// Called after each change of who holds which keys.
	void addKeysListener(Runnable listener) {
		this.listeners.add(listener);
	}

	// Called with what a row newly says of crashes.
	void addCrashListener(BiConsumer<InstanceId, CrashState> listener) {
		this.crashesTold = listener;
	}

	// Called after this daemon has written a row.
	void addWriteListener(Consumer<MetadataStore.Row> listener) {
		this.written = listener;
	}

	/**
	 * Takes a row over that this daemon has written.
	 * @param row the row as it is now
	 */
	void onRowWritten(MetadataStore.Row row) {
		apply(new MetadataStore.Rows(List.of(row), row.version()), false);
		this.written.accept(row);
	}

	// Called after rows were taken over, wherever they came from.
	void addRowsListener(Runnable listener) {
		this.taken = listener;
	}

	void apply(MetadataStore.Rows rows, boolean whole) {
		if (whole) {
			List<String> there = rows.rows().stream().map(MetadataStore.Row::key).toList();
			// A whole reading may have been overtaken by the feed, or be an old one that
			// the store gave: what is newer than it stays. Without this an instance that
			// started at the same moment as this one was unknown here for good.
			this.members.entrySet()
				.removeIf((member) -> member.getValue().version() <= rows.version()
						&& !there.contains(StoredRows.MEMBER_PREFIX + member.getKey().value()));
			membersChanged();
		}
		rows.rows().forEach(this::apply);
		this.known = true;
		this.taken.run();
	}

	private void apply(MetadataStore.Row row) {
		if (row.key().startsWith(StoredRows.MEMBER_PREFIX)) {
			takeMember(row, row.key().substring(StoredRows.MEMBER_PREFIX.length()));
		}
		else if (row.key().startsWith(StoredRows.KEYS_PREFIX) && row.value().isPresent()) {
			takeKeys(row, row.key().substring(StoredRows.KEYS_PREFIX.length()), row.value().get());
		}
		else if (row.key().startsWith(StoredRows.CRASHES_PREFIX) && row.value().isPresent()) {
			takeCrashes(row, new InstanceId(row.key().substring(StoredRows.CRASHES_PREFIX.length())),
					row.value().get());
		}
	}

	private void takeMember(MetadataStore.Row row, String instance) {
		if (row.value().isEmpty()) {
			this.members.remove(new InstanceId(instance));
			membersChanged();
			return;
		}
		if (memberVersion(new InstanceId(instance)) >= row.version()) {
			return;
		}
		Either<Failure, Member> read = StoredRows.member(instance, row.value().get());
		if (read.isLeft()) {
			this.log.record(MeshEvent.MEMBER_CHANGED, "member", instance, "unreadable", read.getLeft().detail());
			return;
		}
		Member member = read.get();
		this.members.put(member.instance(), new Entry<>(member, row));
		membersChanged();
		this.log.record(MeshEvent.MEMBER_CHANGED, "member", instance, "service", member.service(), "ready",
				member.ready(), "life", member.incarnation().map(String::valueOf).orElse(""), "version", row.version());
	}

	private void takeKeys(MetadataStore.Row row, String service, byte[] value) {
		ServiceName name = new ServiceName(service);
		if (keysVersion(name) >= row.version()) {
			return;
		}
		Either<Failure, KeyMap> read = StoredRows.keys(value);
		if (read.isLeft()) {
			this.log.record(MeshEvent.KEYS_MOVED, "service", service, "unreadable", read.getLeft().detail());
			return;
		}
		this.keys.put(name, new Entry<>(read.get(), row));
		this.newestVersion = Math.max(this.newestVersion, row.version());
		this.listeners.forEach(Runnable::run);
	}

	private void takeCrashes(MetadataStore.Row row, InstanceId instance, byte[] value) {
		if (crashStateVersion(instance) >= row.version()) {
			return;
		}
		Either<Failure, CrashState> read = StoredRows.crashes(value);
		if (read.isLeft()) {
			this.log.record(MeshEvent.CRASHES_TOLD, "from", instance, "unreadable", read.getLeft().detail());
			return;
		}
		this.crashes.put(instance, new Entry<>(read.get(), row));
		this.newestVersion = Math.max(this.newestVersion, row.version());
		this.crashesTold.accept(instance, read.get());
	}

	// What the store has of an instance's crashes.
	CrashState crashState(InstanceId instance) {
		return Optional.ofNullable(this.crashes.get(instance)).map(Entry::value).orElse(CrashState.EMPTY);
	}

	long crashStateVersion(InstanceId instance) {
		return Optional.ofNullable(this.crashes.get(instance)).map(Entry::version).orElse(0L);
	}

	// The newest version among the rows that are known, asked for with each message.
	long newestVersion() {
		return this.newestVersion;
	}

	private static <T> long newest(Collection<Entry<T>> entries) {
		return entries.stream().mapToLong(Entry::version).max().orElse(0);
	}

	/**
	 * The rows that are newer than a version.
	 * @param version the version
	 * @return them as the store has them
	 */
	List<MetadataStore.Row> rowsAfter(long version) {
		return Stream.of(this.members.values(), this.keys.values(), this.crashes.values())
			.flatMap(Collection::stream)
			.map(Entry::row)
			.filter((row) -> row.version() > version)
			.toList();
	}

	// Whether the store was read at all since this process began.
	boolean isLoaded() {
		return this.known;
	}

	int size() {
		return this.members.size();
	}

	/**
	 * An instance's place among all that are known, by name.
	 * @param instance the instance
	 * @return the number of those before it
	 */
	int position(InstanceId instance) {
		return (int) this.members.keySet()
			.stream()
			.filter((other) -> other.value().compareTo(instance.value()) < 0)
			.count();
	}

	// Asked for with each request, and changes with members only.
	List<Member> serving(ServiceName service) {
		return this.serving.computeIfAbsent(service,
				(key) -> reachable().filter((member) -> member.service().equals(key) && member.ready()).toList());
	}

	// Those that are not gone for good.
	Stream<Member> reachable() {
		index();
		return this.reachable.stream();
	}

	private void membersChanged() {
		this.serving.clear();
		this.indexed = false;
		this.newestVersion = Math.max(newest(this.crashes.values()),
				Math.max(newest(this.members.values()), newest(this.keys.values())));
	}

	// Asked for several times a second and changes with members only: compared pair by
	// pair it grows with the square of the deployment.
	private void index() {
		if (this.indexed) {
			return;
		}
		this.indexed = true;
		this.newestAt.clear();
		this.members.values().forEach((each) -> this.newestAt.merge(each.value().address(), each.version(), Math::max));
		this.reachable = this.members.values()
			.stream()
			.map(Entry::value)
			.filter((member) -> !isReplaced(member.instance()))
			.toList();
	}

	/**
	 * Whether an instance is gone for good: another one has its address by now. Nobody
	 * else takes the row of an instance that is lost off the list.
	 * @param instance the instance
	 * @return true if a later row names the same address
	 */
	boolean isReplaced(InstanceId instance) {
		index();
		Entry<Member> own = this.members.get(instance);
		return own != null && this.newestAt.getOrDefault(own.value().address(), 0L) > own.version();
	}

	Optional<Member> member(InstanceId instance) {
		return Optional.ofNullable(this.members.get(instance)).map(Entry::value);
	}

	long memberVersion(InstanceId instance) {
		Entry<Member> entry = this.members.get(instance);
		return (entry != null) ? entry.version() : 0;
	}

	Optional<KeyMap> keys(ServiceName service) {
		return Optional.ofNullable(this.keys.get(service)).map(Entry::value);
	}

	long keysVersion(ServiceName service) {
		Entry<KeyMap> entry = this.keys.get(service);
		return (entry != null) ? entry.version() : 0;
	}

	private record Entry<T>(T value, MetadataStore.Row row) {

		long version() {
			return this.row.version();
		}

	}

}
