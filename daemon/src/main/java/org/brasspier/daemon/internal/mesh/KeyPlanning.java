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
 * Plans the next change of a service's key map among the changes that this instance may
 * make: those of its own keys, the takeover of lost instances' keys and, if it has the
 * lowest name among the holders, the balancing of all keys. Not thread-safe; confined to
 * the request thread.
 */
final class KeyPlanning {

	/**
	 * The first assignment waits until the set of holders has not changed for this time:
	 * instances start within a fraction of a second of each other, and their backend
	 * servers send the first heartbeat within one or two seconds.
	 */
	private static final long HOLDERS_STABLE_NANOS = Duration.ofSeconds(2).toNanos();

	/**
	 * A backend server that has sent no heartbeat for this time loses its keys. Equal to
	 * the length of a hold, since it no longer holds any keys after that.
	 */
	private static final long HEARTBEAT_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();

	/**
	 * Pause between two moves, so that loads reflect the first one before the next is
	 * planned. After this time, half of the weight in the load meter is from after the
	 * move.
	 */
	private static final long MOVE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * How long an evacuated instance leaves it to the instance that plans for all to move
	 * its keys. One write for all of them is faster than one for each instance, since
	 * concurrent writes of the key map exclude each other.
	 */
	private static final long EVACUATION_PLAN_NANOS = Duration.ofMillis(600).toNanos();

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

	private long notEvacuatedNanos;

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
		this.notEvacuatedNanos = now;
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
	 * Returns whether the backend server on this instance can take over keys.
	 * @return false if it is draining, silent, dead or in an evacuated failure domain
	 */
	boolean canTakeOver() {
		return isServing() && !isEvacuated(this.self);
	}

	private boolean isServing() {
		return this.registration.ready() && !isSilent();
	}

	private boolean isEvacuated(InstanceId instance) {
		return this.directory.member(instance).filter(this.directory::isEvacuated).isPresent();
	}

	private boolean mustLeave(long now) {
		return !isServing() || now - this.notEvacuatedNanos >= EVACUATION_PLAN_NANOS;
	}

	private boolean isSilent() {
		return this.registration.nanosSinceHeartbeat(System.nanoTime()) > HEARTBEAT_TIMEOUT_NANOS
				|| this.registration.isDead();
	}

	/**
	 * Plans at most one change of the key map and starts writing it.
	 * @param now current time, nanoseconds of the lease clock
	 */
	void step(long now) {
		if (!isEvacuated(this.self)) {
			this.notEvacuatedNanos = now;
		}
		List<KeyHolder> holders = holders(now);
		Set<InstanceId> names = holders.stream().map(KeyHolder::instance).collect(Collectors.toSet());
		if (!names.equals(this.latestHolders)) {
			this.latestHolders = names;
			this.holdersSinceNanos = now;
		}
		Optional<KeyMap> map = this.directory.keys(this.service);
		map.ifPresent((known) -> this.loads.reportOwnLoad(known, holders, now));
		boolean isLeader = !holders.isEmpty() && holders.get(0).instance().equals(this.self);
		boolean holdersStable = now - this.holdersSinceNanos >= HOLDERS_STABLE_NANOS;
		if (map.isEmpty()) {
			if (isLeader && holdersStable && !this.lease.inGrace(now)) {
				this.writer.write(KeyMap.initial(holders), "first");
			}
			return;
		}
		if (this.lease.mapTrusted() && planOwn(map.get(), holders, now)) {
			return;
		}
		if (names.contains(this.self) && planTakeover(map.get(), holders, now)) {
			return;
		}
		if (isLeader) {
			planBalance(map.get(), holders, holdersStable, now);
		}
	}

	// Plans changes of the own keys. Only this instance may make these, since only it
	// knows what its backend server holds.
	private boolean planOwn(KeyMap map, List<KeyHolder> holders, long now) {
		Optional<KeyMap> reassigned = this.registration.ready() ? KeyPlanner.reassignToIncarnation(map,
				new KeyHolder(this.self, this.registration.incarnation().orElseThrow())) : Optional.empty();
		if (reassigned.isPresent()) {
			this.writer.write(reassigned.get(), "new life");
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
		if (mustLeave(now)) {
			List<KeyHolder> others = holders.stream().filter((each) -> !each.instance().equals(this.self)).toList();
			Optional<KeyMap> leaving = KeyPlanner.reassignLeaving(map, Set.of(this.self), others);
			leaving.ifPresent((planned) -> this.writer.write(planned, "leaving"));
			return leaving.isPresent();
		}
		return false;
	}

	private Optional<KeyMap> handedOver(KeyMap map, List<KeyHolder> holders, long now) {
		Map<InstanceId, KeyHolder> holdersByInstance = holders.stream()
			.collect(Collectors.toMap(KeyHolder::instance, (holder) -> holder));
		Map<KeyHolding, String> released = new HashMap<>();
		map.heldBy(this.self)
			.stream()
			.filter((held) -> held.nextHolder().filter(holdersByInstance::containsKey).isPresent())
			.forEach((held) -> this.handovers.handover(held, now).ifPresent((token) -> released.put(held, token)));
		if (released.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(map.reassigned(released::containsKey, (held) -> holdersByInstance.get(held.nextHolder().orElseThrow()),
					(held) -> released.getOrDefault(held, "")));
	}

	private Optional<KeyMap> balanced(KeyMap map, List<KeyHolder> holders, long now) {
		boolean moving = map.holdings().stream().anyMatch((held) -> held.nextHolder().isPresent());
		if (moving || this.writer.nanosSinceLastWrite(now) < MOVE_INTERVAL_NANOS) {
			return Optional.empty();
		}
		return KeyRebalancer.plan(map, this.loads.recentLoads(holders, now));
	}

	// Each instance that sees a lease end tries to take over its keys, not only the one
	// with the lowest name: that one may have started after the loss and must first
	// observe the leases for a whole lease time, while others have observed them all
	// along. The store's preconditions let one of them win.
	private boolean planTakeover(KeyMap map, List<KeyHolder> holders, long now) {
		Map<InstanceId, Long> lost = new HashMap<>();
		map.holdings()
			.stream()
			.map(KeyHolding::holder)
			.distinct()
			.filter((holder) -> !holder.equals(this.self))
			.forEach((holder) -> endedAt(holder, now).ifPresent((version) -> lost.put(holder, version)));
		Optional<KeyMap> reassigned = KeyPlanner.reassignLost(map, lost.keySet(), holders);
		reassigned.ifPresent((planned) -> {
			this.lease.recordTakeoverAttempt(lost);
			this.writer.write(planned, lost, "lost " + lost.keySet());
		});
		return reassigned.isPresent();
	}

	// Returns the row version at which a holder's lease ended. A replaced instance needs
	// no wait for that: its address is reused only after its backend server has stopped,
	// so nothing can hold the keys any more.
	private Optional<Long> endedAt(InstanceId holder, long now) {
		return this.directory.isReplaced(holder) ? this.lease.versionOf(holder)
				: this.lease.endedRowVersion(holder, now);
	}

	private void planBalance(KeyMap map, List<KeyHolder> holders, boolean holdersStable, long now) {
		Set<InstanceId> evacuated = map.holdings()
			.stream()
			.map(KeyHolding::holder)
			.filter(this::isEvacuated)
			.collect(Collectors.toSet());
		Optional<KeyMap> retargeted = KeyPlanner.reassignLeaving(map, evacuated, holders);
		if (retargeted.isPresent()) {
			this.writer.write(retargeted.get(), evacuated.isEmpty() ? "other targets" : "evacuated " + evacuated);
			return;
		}
		Optional<KeyMap> filled = holdersStable ? KeyPlanner.fillEmptyHolders(map, holders) : Optional.empty();
		if (filled.isPresent()) {
			this.writer.write(filled.get(), "evened");
			return;
		}
		balanced(map, holders, now).ifPresent((planned) -> this.writer.write(planned, "balanced"));
	}

	/**
	 * Tells which of this instance's keys its backend server has released.
	 */
	interface HandoverSource {

		/**
		 * Returns the handover token of a released holding.
		 * @param held a holding of this instance
		 * @param now current time, nanoseconds of the lease clock
		 * @return the token, an empty string if there is none; empty if the backend
		 * server may still hold the keys
		 */
		Optional<String> handover(KeyHolding held, long now);

	}

}
