package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Members, key maps and crash state of the mesh, as known from the rows of the platform's
 * store. Keeps the last known state while the store is unavailable. Not thread-safe;
 * confined to the request thread.
 */
final class Directory {

	private final MeshLog log;

	private final EvacuationRows evacuations;

	private final Map<InstanceId, Entry<Member>> members = new HashMap<>();

	private final Map<ServiceName, Entry<KeyMap>> keys = new HashMap<>();

	private final Map<InstanceId, Entry<CrashState>> crashes = new HashMap<>();

	private final Map<ServiceName, List<Member>> serving = new HashMap<>();

	private final Map<InetSocketAddress, Long> newestVersionByAddress = new HashMap<>();

	private List<Member> reachable = List.of();

	private boolean indexed;

	private long newestVersion;

	private final List<Runnable> keysListeners = new ArrayList<>();

	private Runnable rowsAppliedListener = () -> {
	};

	private Consumer<MetadataStore.Row> rowWrittenListener = (row) -> {
	};

	private BiConsumer<InstanceId, CrashState> crashStateListener = (instance, state) -> {
	};

	private boolean loaded;

	Directory(EvacuationRows evacuations, MeshLog log) {
		this.evacuations = evacuations;
		this.log = log;
		evacuations.addListener(this.serving::clear);
	}

	// Registers a listener that is called after each change of a key map.
	void addKeysListener(Runnable listener) {
		this.keysListeners.add(listener);
	}

	// Sets the listener for the crash state of new or changed rows.
	void addCrashListener(BiConsumer<InstanceId, CrashState> listener) {
		this.crashStateListener = listener;
	}

	// Sets the listener that is called after this daemon has written a row.
	void addWriteListener(Consumer<MetadataStore.Row> listener) {
		this.rowWrittenListener = listener;
	}

	/**
	 * Applies a row that this daemon has written.
	 * @param row the row as written
	 */
	void onRowWritten(MetadataStore.Row row) {
		apply(new MetadataStore.Rows(List.of(row), row.version()), false);
		this.rowWrittenListener.accept(row);
	}

	// Sets the listener that is called after rows were applied, whatever their source.
	void addRowsListener(Runnable listener) {
		this.rowsAppliedListener = listener;
	}

	void apply(MetadataStore.Rows rows, boolean wholeTable) {
		if (wholeTable) {
			List<String> presentKeys = rows.rows().stream().map(MetadataStore.Row::key).toList();
			// The feed may have delivered rows that are newer than a read of the whole
			// table, and the store may answer with stale data, so newer members are kept.
			// Otherwise an instance that started at the same moment as this one stayed
			// unknown here permanently.
			this.members.entrySet()
				.removeIf((member) -> member.getValue().version() <= rows.version()
						&& !presentKeys.contains(StoredRows.MEMBER_PREFIX + member.getKey().value()));
			membersChanged();
		}
		rows.rows().forEach(this::apply);
		this.loaded = true;
		this.rowsAppliedListener.run();
	}

	// A row that can't be read, whoever has written it, is left out alone.
	private void apply(MetadataStore.Row row) {
		Either<Failure, StoredRows.RowSubject> subject = StoredRows.subject(row.key());
		if (subject.isLeft()) {
			this.log.record(MeshEvent.ROW_IGNORED, "key", row.key(), "version", row.version(), "reason",
					subject.getLeft().detail());
			return;
		}
		switch (subject.get()) {
			case StoredRows.RowSubject.OfMember(InstanceId instance) -> applyMember(row, instance);
			case StoredRows.RowSubject.OfKeys(ServiceName service) ->
				row.value().ifPresent((value) -> applyKeys(row, service, value));
			case StoredRows.RowSubject.OfCrashes(InstanceId instance) ->
				row.value().ifPresent((value) -> applyCrashState(row, instance, value));
			case StoredRows.RowSubject.OfOthers ignored -> {
			}
		}
	}

	private void applyMember(MetadataStore.Row row, InstanceId instance) {
		if (row.value().isEmpty()) {
			this.members.remove(instance);
			membersChanged();
			return;
		}
		if (memberVersion(instance) >= row.version()) {
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

	private void applyKeys(MetadataStore.Row row, ServiceName service, byte[] value) {
		if (keysVersion(service) >= row.version()) {
			return;
		}
		Either<Failure, KeyMap> read = StoredRows.keys(value);
		if (read.isLeft()) {
			this.log.record(MeshEvent.KEYS_MOVED, "service", service, "unreadable", read.getLeft().detail());
			return;
		}
		this.keys.put(service, new Entry<>(read.get(), row));
		this.newestVersion = Math.max(this.newestVersion, row.version());
		this.keysListeners.forEach(Runnable::run);
	}

	private void applyCrashState(MetadataStore.Row row, InstanceId instance, byte[] value) {
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
		this.crashStateListener.accept(instance, read.get());
	}

	// Returns the crash state of an instance as of its row in the store.
	CrashState crashState(InstanceId instance) {
		return Optional.ofNullable(this.crashes.get(instance)).map(Entry::value).orElse(CrashState.EMPTY);
	}

	long crashStateVersion(InstanceId instance) {
		return Optional.ofNullable(this.crashes.get(instance)).map(Entry::version).orElse(0L);
	}

	// Returns the newest version among the known rows. Cached, since it is read for each
	// message.
	long newestVersion() {
		return this.newestVersion;
	}

	private static <T> long newest(Collection<Entry<T>> entries) {
		return entries.stream().mapToLong(Entry::version).max().orElse(0);
	}

	/**
	 * Returns the rows that are newer than a version.
	 * @param version the version
	 * @return the rows in the form in which the store holds them
	 */
	List<MetadataStore.Row> rowsAfter(long version) {
		return Stream.of(this.members.values(), this.keys.values(), this.crashes.values())
			.flatMap(Collection::stream)
			.map(Entry::row)
			.filter((row) -> row.version() > version)
			.toList();
	}

	// Returns whether the store was read since this process started.
	boolean isLoaded() {
		return this.loaded;
	}

	int size() {
		return this.members.size();
	}

	/**
	 * Returns the position of an instance among all known instances, ordered by name.
	 * @param instance the instance
	 * @return the number of instances before it
	 */
	int position(InstanceId instance) {
		return (int) this.members.keySet()
			.stream()
			.filter((other) -> other.value().compareTo(instance.value()) < 0)
			.count();
	}

	// Returns the members to which new requests may be sent. Cached, since it is read for
	// each request and changes only with the members and the evacuated domains.
	List<Member> serving(ServiceName service) {
		return this.serving.computeIfAbsent(service,
				(key) -> reachable().filter((member) -> member.service().equals(key) && member.ready())
					.filter((member) -> !isEvacuated(member))
					.toList());
	}

	// Returns whether a member is in an evacuated failure domain.
	boolean isEvacuated(Member member) {
		return this.evacuations.isEvacuated(member.failureDomain());
	}

	Set<FailureDomain> failureDomains() {
		return reachable().map(Member::failureDomain).collect(Collectors.toSet());
	}

	// Returns the members that have not been replaced.
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

	// Cached, since it is read several times per second and changes only with the
	// members. Indexed by address, since comparing all pairs of members takes quadratic
	// time in the size of the deployment.
	private void index() {
		if (this.indexed) {
			return;
		}
		this.indexed = true;
		this.newestVersionByAddress.clear();
		this.members.values()
			.forEach((each) -> this.newestVersionByAddress.merge(each.value().address(), each.version(), Math::max));
		this.reachable = this.members.values()
			.stream()
			.map(Entry::value)
			.filter((member) -> !isReplaced(member.instance()))
			.toList();
	}

	/**
	 * Returns whether an instance was permanently replaced, that is, another instance has
	 * its address now. The row of a lost instance is not deleted by anyone.
	 * @param instance the instance
	 * @return true if a newer row of another instance has the same address
	 */
	boolean isReplaced(InstanceId instance) {
		index();
		Entry<Member> own = this.members.get(instance);
		return own != null && this.newestVersionByAddress.getOrDefault(own.value().address(), 0L) > own.version();
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
