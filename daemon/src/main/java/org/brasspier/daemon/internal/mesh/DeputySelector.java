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
import org.brasspier.core.keys.PromiseMark;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * Requests promises from other instances of the service and selects the one that this
 * instance's lease names as deputy. The deputy may take over this instance's keys before
 * its whole lease has ended; with a promise, the deputy undertakes not to do so for a
 * certain time. Not thread-safe; confined to the request thread.
 */
final class DeputySelector {

	/**
	 * Interval of the requests to the deputy. The lease lasts only as long as the
	 * deputy's promise, so its remaining time may be less than a full promise by this
	 * interval and a round trip. Holds are shortened by that amount.
	 */
	private static final long REQUEST_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * A deputy that has not answered two requests is replaced, long before its promise
	 * ends, so that the loss of a deputy does not affect the holders of keys.
	 */
	private static final long MAX_ANSWER_AGE_NANOS = Duration.ofMillis(1200).toNanos();

	/**
	 * Maximum number of instances that are asked in addition to the deputy, while only
	 * instances that answer may be assigned keys. At the maximum, requests and answers
	 * take 3 KB per second of the 10 KB that control traffic may use.
	 */
	private static final int MAX_OTHERS_ASKED = 8;

	/**
	 * Number of instances that are asked in addition to the deputy at other times, so
	 * that one of them can be named as soon as the deputy stops answering. With many
	 * holders, these messages outnumber requests.
	 */
	private static final int USUAL_OTHERS_ASKED = 2;

	private final InstanceId self;

	private final MeshSettings settings;

	private final Directory directory;

	private final HopClient hops;

	private final OwnLease lease;

	private final LongSupplier clock;

	private final long process;

	private final Map<InstanceId, DeputyAnswer> latestAnswers = new HashMap<>();

	private long lastRequestNanos;

	DeputySelector(MeshSettings settings, Directory directory, HopClient hops, OwnLease lease, LongSupplier clock,
			long process) {
		this.self = settings.instance();
		this.settings = settings;
		this.directory = directory;
		this.hops = hops;
		this.lease = lease;
		this.clock = clock;
		this.process = process;
		this.lastRequestNanos = clock.getAsLong() - REQUEST_INTERVAL_NANOS;
	}

	/**
	 * Asks the deputy and others for promises when these are due.
	 * @param storeDoubtful whether the store has not answered recently, or has just begun
	 * to answer again
	 * @param now current time, nanoseconds of the lease clock
	 */
	void step(boolean storeDoubtful, long now) {
		if (now - this.lastRequestNanos < REQUEST_INTERVAL_NANOS) {
			return;
		}
		this.lastRequestNanos = now;
		Optional<InstanceId> named = this.lease.deputy().map(Deputy::instance);
		boolean deputyEligible = named.filter((instance) -> isEligible(instance, now)).isPresent();
		List<Member> candidates = candidates();
		candidates.stream()
			.filter((member) -> deputyEligible && named.get().equals(member.instance()))
			.forEach((member) -> requestPromise(member, now));
		// Right after an outage, only instances that answer are assigned keys.
		candidates.stream()
			.filter((member) -> !deputyEligible || !named.get().equals(member.instance()))
			.limit(storeDoubtful ? MAX_OTHERS_ASKED : USUAL_OTHERS_ASKED)
			.forEach((member) -> requestPromise(member, now));
	}

	// Returns the candidates in the order of names, starting after this instance, so that
	// each instance is deputy of few others. Instances of other failure domains come
	// first, since a whole failure domain may be lost at once.
	private List<Member> candidates() {
		ServiceName service = this.settings.backend().service();
		Comparator<Member> otherDomainsFirst = Comparator
			.comparing((member) -> member.failureDomain().equals(this.settings.failureDomain()));
		Comparator<Member> laterNamesFirst = Comparator
			.comparing((member) -> member.instance().compareTo(this.self) < 0);
		return this.directory.serving(service)
			.stream()
			.filter((member) -> !member.instance().equals(this.self))
			.sorted(otherDomainsFirst.thenComparing(laterNamesFirst).thenComparing(Member::instance))
			.toList();
	}

	private void requestPromise(Member member, long requestedNanos) {
		PromiseMark mark = new PromiseMark(this.process, this.clock.getAsLong());
		this.hops.requestPromise(member, this.self, this.lease.rowVersion(), mark)
			.whenResult((answer) -> answer.ifPresent((response) -> {
				Deputy deputy = new Deputy(member.instance(), response.process());
				this.lease.onProcessSeen(deputy, this.clock.getAsLong());
				if (response.promised()) {
					this.lease.onPromise(deputy, requestedNanos);
				}
				if (response.promised() && response.canTakeOver()) {
					this.latestAnswers.put(member.instance(), new DeputyAnswer(deputy, requestedNanos));
				}
				else {
					this.latestAnswers.remove(member.instance());
				}
			}));
	}

	// Notifies the deputy that this instance grants no keys any more.
	void releasePromise() {
		this.lease.deputy()
			.map(Deputy::instance)
			.flatMap(this.directory::member)
			.ifPresent((member) -> this.hops.sendOneWay(member, new HopMessage.PromiseRelease(this.self,
					Optional.of(new PromiseMark(this.process, this.clock.getAsLong())))));
	}

	// Returns whether an instance has promised recently and reports that it can take over
	// keys.
	boolean isEligible(InstanceId instance, long now) {
		DeputyAnswer latest = this.latestAnswers.get(instance);
		return latest != null && now - latest.requestedNanos < MAX_ANSWER_AGE_NANOS
				&& this.lease.promiseRemainingNanos(latest.deputy, now) > 0
				&& !this.hops.shouldAvoid(instance, System.nanoTime());
	}

	/**
	 * Selects the deputy to name in the lease. Keeps the current deputy as long as it
	 * answers.
	 * @param now current time, nanoseconds of the lease clock
	 * @return the deputy; empty if no instance answers
	 */
	Optional<Deputy> select(long now) {
		Optional<Deputy> named = this.lease.deputy();
		if (named.isPresent() && isStillEligible(named.get(), now)) {
			return named;
		}
		return candidates().stream()
			.map(Member::instance)
			.filter((instance) -> isEligible(instance, now))
			.map(this.latestAnswers::get)
			.flatMap((latest) -> Optional.ofNullable(latest).map(DeputyAnswer::deputy).stream())
			.findFirst();
	}

	// Returns whether the named deputy should be replaced without waiting for the next
	// renewal.
	boolean replacementNeeded(long now) {
		return this.lease.deputy().filter((named) -> !isStillEligible(named, now)).isPresent();
	}

	private boolean isStillEligible(Deputy named, long now) {
		DeputyAnswer latest = this.latestAnswers.get(named.instance());
		return isEligible(named.instance(), now) && latest != null && latest.deputy.equals(named);
	}

	private record DeputyAnswer(Deputy deputy, long requestedNanos) {
	}

}
