package org.brasspier.core.ownership;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.InstanceId;

/**
 * Computes a digest by which two processes compare their rows. It guards against a base
 * with the same version but other contents, as after the platform has restored its table:
 * a delta applied to it would make two members read different owners from one version.
 * All versions of the program must compute the same digest; otherwise they fall back to
 * whole rows. Stateless and thread-safe.
 */
final class RowDigest {

	private RowDigest() {
	}

	static long of(CellRow row) {
		HashStream64 hash = Hashing.komihash5_0().hashStream();
		hash.putLong(row.epoch());
		putOptional(hash, row.managers(), (pair) -> put(hash, pair));
		putAll(hash, row.unclosed(), (pair) -> put(hash, pair));
		putAll(hash, row.members(), (member) -> put(hash, member));
		putAll(hash, row.drained().stream().map(InstanceId::value).sorted().toList(), hash::putString);
		putAll(hash, row.ranges(), (range) -> put(hash, range));
		putOptional(hash, row.challenger(), (key) -> put(hash, key));
		return hash.getAsLong();
	}

	private static <T> void putAll(HashStream64 hash, Collection<T> entries, Consumer<T> putEntry) {
		hash.putInt(entries.size());
		entries.forEach(putEntry);
	}

	private static <T> void putOptional(HashStream64 hash, Optional<T> entry, Consumer<T> putEntry) {
		hash.putBoolean(entry.isPresent());
		entry.ifPresent(putEntry);
	}

	private static void put(HashStream64 hash, MemberKey key) {
		hash.putString(key.instance().value());
		hash.putInt(key.incarnation());
	}

	private static void put(HashStream64 hash, ManagerPair pair) {
		hash.putLong(pair.epoch());
		put(hash, pair.primary());
		putOptional(hash, pair.secondary(), (key) -> put(hash, key));
	}

	private static void put(HashStream64 hash, MemberInfo member) {
		put(hash, member.key());
		hash.putString(member.domain().value());
		hash.putString(member.address().host());
		hash.putInt(member.address().controlPort());
		hash.putInt(member.address().forwardPort());
		hash.putInt(member.address().callerPort());
		hash.putInt(member.address().operatorPort());
		hash.putInt(member.phase().ordinal());
		putOptional(hash, member.backend(), (backend) -> put(hash, backend));
	}

	private static void put(HashStream64 hash, MemberInfo.Backend backend) {
		hash.putString(backend.service().value());
		hash.putInt(backend.slots());
		hash.putBoolean(backend.checksFences());
		hash.putInt(backend.coldStartMillis());
		hash.putInt(backend.guardMillis());
	}

	private static void put(HashStream64 hash, RangeState range) {
		hash.putString(range.service().value());
		hash.putLong(range.range().low());
		hash.putLong(range.range().high());
		putOptional(hash, range.owner(), (owner) -> hash.putString(owner.value()));
		hash.putLong(range.fence().value());
		putAll(hash, range.marks(), (mark) -> {
			hash.putLong(mark.crashFingerprint());
			hash.putInt(mark.crashes());
		});
	}

}
