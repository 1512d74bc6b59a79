package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeyPlanner;
import org.brasspier.core.keys.KeyRebalancer;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * Plans the next change of a service's map of keys, as far as this instance may make it:
 * what concerns its own keys, the keys of lost instances, and, if it has the lowest name
 * among the holders, the balance between all. Belongs to the thread of requests.
 */
final class KeyPlanning {

	/**
	 * The first dealing waits until no holder has come for so long: instances start
	 * within a fraction of a second of each other, and their backend servers announce
	 * themselves within a second or two.
	 */
	private static final long SETTLED_NANOS = Duration.ofSeconds(2).toNanos();

	/**
	 * A backend server that was silent for so long gives its keys up: as long as a hold,
	 * since nothing holds them after that.
	 */
	private static final long SILENT_NANOS = Duration.ofSeconds(4).toNanos();

	/**
	 * After a move loads are counted anew before the next one is planned: half of what
	 * the meter remembers is then from after the move.
	 */
	private static final long REST_NANOS = Duration.ofSeconds(1).toNanos();

	private final InstanceId self;

	private final ServiceName service;

	private final BackendRegistration registration;

	private final Directory directory;

	private final LeaseRenewal lease;

	private final KeyMapWriter writer;

	private final LoadReports loads;

	private final HandoverSource handovers;

	private final Predicate<KeyHolding> needsNewFence;

	private Set<InstanceId> latestHolders = Set.of();

	private long holdersSinceNanos;

	KeyPlanning(MeshSettings settings, BackendRegistration registration, Directory directory, LeaseRenewal lease,
			KeyMapWriter writer, LoadReports loads, HandoverSource handovers, Predicate<KeyHolding> needsNewFence,
			long now) {
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.registration = registration;
		this.directory = directory;
		this.lease = lease;
		this.writer = writer;
		this.loads = loads;
		this.handovers = handovers;
		this.needsNewFence = needsNewFence;
		this.holdersSinceNanos = now;
	}

	private List<KeyHolder> holders(long now) {
		return this.directory.serving(this.service)
			.stream()
			.filter((member) -> member.incarnation().isPresent())
			.filter((member) -> !member.instance().equals(this.self) || canTakeOver())
			.filter((member) -> this.lease.isRenewing(member.instance(), now))
			.map(KeyPlanning::holder)
			.sorted((one, other) -> one.instance().compareTo(other.instance()))
			.toList();
	}

	private static KeyHolder holder(Member member) {
		return new KeyHolder(member.instance(), member.incarnation().orElseThrow());
	}

	/**
	 * Whether the backend server beside this daemon can take keys.
	 * @return false if it leaves or is silent
	 */
	boolean canTakeOver() {
		return this.registration.ready() && !silent();
	}

	private boolean silent() {
		return this.registration.nanosSinceHeartbeat(System.nanoTime()) > SILENT_NANOS || this.registration.isDead();
	}

	/**
	 * Plans one change of the map, if any is due.
	 * @param now the time
	 */
	void step(long now) {
		List<KeyHolder> holders = holders(now);
		Set<InstanceId> names = holders.stream().map(KeyHolder::instance).collect(Collectors.toSet());
		if (!names.equals(this.latestHolders)) {
			this.latestHolders = names;
			this.holdersSinceNanos = now;
		}
		Optional<KeyMap> map = this.directory.keys(this.service);
		map.ifPresent((known) -> this.loads.reportOwnLoad(known, holders, now));
		boolean leads = !holders.isEmpty() && holders.get(0).instance().equals(this.self);
		boolean settled = now - this.holdersSinceNanos >= SETTLED_NANOS;
		if (map.isEmpty()) {
			if (leads && settled && !this.lease.inGrace(now)) {
				this.writer.write(KeyMap.initial(holders), "first");
			}
			return;
		}
		if (this.lease.mapTrusted() && planOwn(map.get(), holders, now)) {
			return;
		}
		if (names.contains(this.self) && planLost(map.get(), holders, now)) {
			return;
		}
		if (leads) {
			planAll(map.get(), holders, settled, now);
		}
	}

	// What only this instance may do: it knows what its backend server holds.
	private boolean planOwn(KeyMap map, List<KeyHolder> holders, long now) {
		Optional<KeyMap> renewedLife = this.registration.ready() ? KeyPlanner.reassignToIncarnation(map,
				new KeyHolder(this.self, this.registration.incarnation().orElseThrow())) : Optional.empty();
		if (renewedLife.isPresent()) {
			this.writer.write(renewedLife.get(), "new life");
			return true;
		}
		List<KeyHolding> superseded = map.heldBy(this.self).stream().filter(this.needsNewFence).toList();
		if (!superseded.isEmpty()) {
			KeyHolder own = new KeyHolder(this.self, this.registration.incarnation().orElseThrow());
			this.writer.write(map.reassigned(superseded::contains, (held) -> own, KeyHolding::handover), "new fence");
			return true;
		}
		Optional<KeyMap> handedOver = handedOver(map, holders, now);
		if (handedOver.isPresent()) {
			this.writer.write(handedOver.get(), "handed over");
			return true;
		}
		Optional<KeyMap> retargeted = KeyPlanner.retarget(map, (held) -> held.holder().equals(this.self), holders);
		if (retargeted.isPresent()) {
			this.writer.write(retargeted.get(), "other targets");
			return true;
		}
		if (!canTakeOver()) {
			List<KeyHolder> others = holders.stream().filter((each) -> !each.instance().equals(this.self)).toList();
			Optional<KeyMap> leaving = KeyPlanner.reassignLeaving(map, Set.of(this.self), others);
			leaving.ifPresent((planned) -> this.writer.write(planned, "leaving"));
			return leaving.isPresent();
		}
		return false;
	}

	private Optional<KeyMap> handedOver(KeyMap map, List<KeyHolder> holders, long now) {
		Map<InstanceId, KeyHolder> able = holders.stream()
			.collect(Collectors.toMap(KeyHolder::instance, (holder) -> holder));
		Map<KeyHolding, String> released = new HashMap<>();
		map.heldBy(this.self)
			.stream()
			.filter((held) -> held.nextHolder().filter(able::containsKey).isPresent())
			.forEach((held) -> this.handovers.handover(held, now).ifPresent((token) -> released.put(held, token)));
		if (released.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(map.reassigned(released::containsKey, (held) -> able.get(held.nextHolder().orElseThrow()),
				(held) -> released.getOrDefault(held, "")));
	}

	private Optional<KeyMap> balanced(KeyMap map, List<KeyHolder> holders, long now) {
		boolean moving = map.holdings().stream().anyMatch((held) -> held.nextHolder().isPresent());
		if (moving || this.writer.nanosSinceLastWrite(now) < REST_NANOS) {
			return Optional.empty();
		}
		return KeyRebalancer.plan(map, this.loads.recentLoads(holders, now));
	}

	// Whoever sees a lease end takes its keys, not only the one that plans: that one may
	// have come after the loss, and has to watch for a whole lease first. Others have
	// watched all along. The store lets one of them win.
	private boolean planLost(KeyMap map, List<KeyHolder> holders, long now) {
		Map<InstanceId, Long> lost = new HashMap<>();
		map.holdings()
			.stream()
			.map(KeyHolding::holder)
			.distinct()
			.filter((owner) -> !owner.equals(this.self))
			.forEach((owner) -> endedAt(owner, now).ifPresent((version) -> lost.put(owner, version)));
		Optional<KeyMap> withoutLost = KeyPlanner.reassignLost(map, lost.keySet(), holders);
		withoutLost.ifPresent((planned) -> {
			this.lease.recordTakeoverAttempt(lost);
			this.writer.write(planned, lost, "lost " + lost.keySet());
		});
		return withoutLost.isPresent();
	}

	// Addresses are given away only after the backend server that had them has ended, so
	// there is nobody left who could hold the keys.
	private Optional<Long> endedAt(InstanceId owner, long now) {
		return this.directory.isReplaced(owner) ? this.lease.versionOf(owner) : this.lease.endedRowVersion(owner, now);
	}

	private void planAll(KeyMap map, List<KeyHolder> holders, boolean settled, long now) {
		Optional<KeyMap> retargeted = KeyPlanner.retarget(map, (held) -> true, holders);
		if (retargeted.isPresent()) {
			this.writer.write(retargeted.get(), "other targets");
			return;
		}
		Optional<KeyMap> evened = settled ? KeyPlanner.fillEmptyHolders(map, holders) : Optional.empty();
		if (evened.isPresent()) {
			this.writer.write(evened.get(), "evened");
			return;
		}
		balanced(map, holders, now).ifPresent((planned) -> this.writer.write(planned, "balanced"));
	}

	/**
	 * Says which of this instance's keys its backend server has released.
	 */
	interface HandoverSource {

		/**
		 * What was handed over with a holding.
		 * @param held a holding of this instance
		 * @param now the time
		 * @return empty text if nothing was; empty if the server may still hold it
		 */
		Optional<String> handover(KeyHolding held, long now);

	}

}
