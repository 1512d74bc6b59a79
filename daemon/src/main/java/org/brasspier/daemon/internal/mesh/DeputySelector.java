package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.Deputy;
import org.brasspier.core.keys.OwnLease;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * Asks other instances of the service for promises, and says which of them this
 * instance's lease should name as deputy. Belongs to the thread of requests.
 */
final class DeputySelector {

	/**
	 * How often the deputy is asked. A lease has at most this and a round trip less than
	 * a promise, which is what holds are cut short by.
	 */
	private static final long ASK_EVERY_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * A deputy that has not answered for two askings is replaced, long before its promise
	 * ends: a deputy's loss is to cost its holders nothing.
	 */
	private static final long FRESH_NANOS = Duration.ofMillis(1200).toNanos();

	/**
	 * Instances asked beside the deputy: all in today's deployments; at this bound they
	 * cost 3 KB a second with their answers, of the ten that control may take.
	 */
	private static final int MOST_ASKED = 8;

	private final InstanceId self;

	private final MeshSettings settings;

	private final Directory directory;

	private final HopClient hops;

	private final OwnLease lease;

	private final LongSupplier clock;

	private final Map<InstanceId, Heard> heard = new HashMap<>();

	private long askedNanos;

	DeputySelector(MeshSettings settings, Directory directory, HopClient hops, OwnLease lease, LongSupplier clock) {
		this.self = settings.instance();
		this.settings = settings;
		this.directory = directory;
		this.hops = hops;
		this.lease = lease;
		this.clock = clock;
		this.askedNanos = clock.getAsLong() - ASK_EVERY_NANOS;
	}

	void step(long now) {
		if (now - this.askedNanos < ASK_EVERY_NANOS) {
			return;
		}
		this.askedNanos = now;
		Optional<InstanceId> named = this.lease.deputy().map(Deputy::instance);
		boolean enough = named.filter((instance) -> isEligible(instance, now)).isPresent();
		List<Member> candidates = candidates();
		candidates.stream()
			.filter((member) -> enough && named.get().equals(member.instance()))
			.forEach((member) -> ask(member, now));
		// One of the others is named at once when the deputy falls silent, and just
		// after an outage only who answers is given keys.
		candidates.stream()
			.filter((member) -> !enough || !named.get().equals(member.instance()))
			.limit(MOST_ASKED)
			.forEach((member) -> ask(member, now));
	}

	// In the order of names from this instance on, so that each is deputy of few; those
	// of other failure domains first, since a failure domain may be lost as a whole.
	private List<Member> candidates() {
		ServiceName service = this.settings.backend().service();
		Comparator<Member> farFirst = Comparator
			.comparing((member) -> member.failureDomain().equals(this.settings.failureDomain()));
		Comparator<Member> after = Comparator.comparing((member) -> member.instance().compareTo(this.self) < 0);
		return this.directory.serving(service)
			.stream()
			.filter((member) -> !member.instance().equals(this.self))
			.sorted(farFirst.thenComparing(after).thenComparing(Member::instance))
			.toList();
	}

	private void ask(Member member, long askedAt) {
		this.hops.requestPromise(member, this.self, this.lease.rowVersion())
			.whenResult((answer) -> answer.ifPresent((said) -> {
				Deputy deputy = new Deputy(member.instance(), said.process());
				this.lease.onProcessSeen(deputy, this.clock.getAsLong());
				if (said.promised()) {
					this.lease.onPromise(deputy, askedAt);
				}
				if (said.promised() && said.canTakeOver()) {
					this.heard.put(member.instance(), new Heard(deputy, askedAt));
				}
				else {
					this.heard.remove(member.instance());
				}
			}));
	}

	// Tells the deputy that nothing is granted here any more.
	void releasePromise() {
		this.lease.deputy()
			.map(Deputy::instance)
			.flatMap(this.directory::member)
			.ifPresent((member) -> this.hops.sendOneWay(member, new HopMessage.PromiseRelease(this.self)));
	}

	// Whether an instance has promised lately and says that it can take keys.
	boolean isEligible(InstanceId instance, long now) {
		Heard latest = this.heard.get(instance);
		return latest != null && now - latest.askedNanos < FRESH_NANOS
				&& this.lease.promiseRemainingNanos(latest.deputy, now) > 0
				&& !this.hops.shouldAvoid(instance, System.nanoTime());
	}

	/**
	 * Who should be named now: as before if that one still answers.
	 * @param now the time
	 * @return empty if nobody answers
	 */
	Optional<Deputy> select(long now) {
		Optional<Deputy> named = this.lease.deputy();
		if (named.isPresent() && stillFit(named.get(), now)) {
			return named;
		}
		return candidates().stream()
			.map(Member::instance)
			.filter((instance) -> isEligible(instance, now))
			.map(this.heard::get)
			.flatMap((latest) -> Optional.ofNullable(latest).map(Heard::deputy).stream())
			.findFirst();
	}

	// Whether the one that is named should be replaced at once.
	boolean replacementNeeded(long now) {
		return this.lease.deputy().filter((named) -> !stillFit(named, now)).isPresent();
	}

	private boolean stillFit(Deputy named, long now) {
		Heard latest = this.heard.get(named.instance());
		return isEligible(named.instance(), now) && latest != null && latest.deputy.equals(named);
	}

	private record Heard(Deputy deputy, long askedNanos) {
	}

}
