package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import org.brasspier.core.InstanceId;
import org.brasspier.core.Ran;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.choosing.BackendChooser;
import org.brasspier.core.choosing.Candidate;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.ownership.MemberPhase;
import org.brasspier.core.retry.RetryPolicy;
import org.brasspier.daemon.internal.ownership.CellView;

/**
 * Runs an admitted request on a backend server: on this instance's server if the service
 * is divided by key, otherwise on a chosen one, with further attempts on other servers.
 * Not thread-safe; used in the request thread only.
 */
final class BackendDispatcher {

	private static final int MAX_ATTEMPTS = 3;

	private static final String ACTIVE_PHASE = MemberPhase.ACTIVE.name();

	private final InstanceId self;

	private final ServerGate own;

	private final ForwardClient others;

	private final Supplier<CellView> cell;

	private final Supplier<ServiceCatalog> catalog;

	private final BackendChooser chooser;

	private final RetryPolicy retries;

	BackendDispatcher(InstanceId self, ServerGate own, ForwardClient others, Supplier<CellView> cell,
			Supplier<ServiceCatalog> catalog, BackendChooser chooser, RetryPolicy retries) {
		this.self = self;
		this.own = own;
		this.others = others;
		this.cell = cell;
		this.catalog = catalog;
		this.chooser = chooser;
		this.retries = retries;
	}

	OrderRun run(OwnerGate.Admitted admitted) {
		Order order = admitted.order();
		boolean anyServer = this.catalog.get().isShardedByRequestId(order.request().service());
		return anyServer ? choose(admitted) : this.own.run(order, admitted.cancellation());
	}

	private OrderRun choose(OwnerGate.Admitted admitted) {
		List<Promise<Void>> runs = new ArrayList<>();
		Promise<Outcome> outcome = attempt(admitted, new HashSet<>(), runs);
		SettablePromise<Void> settled = new SettablePromise<>();
		outcome.whenComplete(() -> Promises.all(runs).whenComplete(() -> settled.set(null)));
		return new OrderRun(outcome, settled);
	}

	// An attempt that was followed by another may still take effect on its server.
	private Promise<Outcome> attempt(OwnerGate.Admitted admitted, Set<InstanceId> tried, List<Promise<Void>> runs) {
		Order order = admitted.order();
		RequestClass requestClass = order.request().requestClass();
		long startedNanos = System.nanoTime();
		Optional<InstanceId> chosen = this.chooser.choose(candidates(order.request().service(), tried), requestClass,
				startedNanos);
		if (chosen.isEmpty()) {
			return Promise.of(ServerGate.noBackend("no backend server of the service can take the request"));
		}
		tried.add(chosen.get());
		OrderRun run = chosen.get().equals(this.self) ? this.own.run(order, admitted.cancellation())
				: this.others.execute(chosen.get(), order, admitted.cancellation());
		runs.add(run.settled());
		return run.outcome().then((outcome) -> {
			boolean failed = outcome instanceof Outcome.Failed;
			this.chooser.onEnded(chosen.get(), requestClass, System.nanoTime() - startedNanos, failed);
			if (outcome instanceof Outcome.Failed failure
					&& shouldRetry(order, failure, tried, admitted.cancellation())) {
				Promise<Outcome> next = attempt(admitted, tried, runs);
				return failure.certainlyNotRun() ? next : next.map(Outcome::afterUnknown);
			}
			return Promise.of(outcome);
		});
	}

	// Tries another server only for requests that certainly did not run or are
	// idempotent.
	private boolean shouldRetry(Order order, Outcome.Failed failed, Set<InstanceId> tried, Cancellation cancellation) {
		Ran ran = failed.backendLost() ? Ran.RAN : failed.failure().kind().ran();
		Duration remaining = Duration.ofMillis(order.remainingMillis(System.nanoTime()));
		RequestClass requestClass = order.request().requestClass();
		return tried.size() < MAX_ATTEMPTS && !cancellation.isCancelled()
				&& (failed.exemptFromBudget() ? this.retries.mayRetry(requestClass, ran, remaining)
						: this.retries.tryRetry(requestClass, ran, remaining));
	}

	private List<Candidate> candidates(ServiceName service, Set<InstanceId> tried) {
		List<CellView.Member> untried = this.cell.get()
			.members()
			.stream()
			.filter((member) -> member.service().filter(service::equals).isPresent())
			.filter((member) -> !tried.contains(member.instance()))
			.toList();
		boolean anyActive = untried.stream().anyMatch((member) -> member.phase().equals(ACTIVE_PHASE));
		return untried.stream()
			.filter((member) -> anyActive ? member.phase().equals(ACTIVE_PHASE) : member.instance().equals(this.self))
			.map((member) -> new Candidate(member.instance(), roundTrip(member.instance()), Math.max(1, member.slots()),
					1.0))
			.toList();
	}

	private Duration roundTrip(InstanceId instance) {
		return instance.equals(this.self) ? Duration.ZERO : this.others.roundTrip(instance);
	}

}
