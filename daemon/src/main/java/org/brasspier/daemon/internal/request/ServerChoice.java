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
 * Hands an admitted request to a backend server: the one beside this daemon where the
 * service is divided by key, else the one that was chosen. Belongs to the thread of
 * requests.
 */
final class ServerChoice {

	private static final int MAX_TRIES = 3;

	private static final String MAY_OWN = MemberPhase.ACTIVE.name();

	private final InstanceId self;

	private final ServerGate own;

	private final ForwardClient others;

	private final Supplier<CellView> cell;

	private final Supplier<ServiceCatalog> catalog;

	private final BackendChooser chooser;

	private final RetryPolicy retries;

	ServerChoice(InstanceId self, ServerGate own, ForwardClient others, Supplier<CellView> cell,
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
		SettablePromise<Void> over = new SettablePromise<>();
		outcome.whenComplete(() -> Promises.all(runs).whenComplete(() -> over.set(null)));
		return new OrderRun(outcome, over);
	}

	// Also a try that was followed by another may still take effect where it was sent.
	private Promise<Outcome> attempt(OwnerGate.Admitted admitted, Set<InstanceId> tried, List<Promise<Void>> runs) {
		Order order = admitted.order();
		RequestClass requestClass = order.request().requestClass();
		long begun = System.nanoTime();
		Optional<InstanceId> chosen = this.chooser.choose(candidates(order.request().service(), tried), requestClass,
				begun);
		if (chosen.isEmpty()) {
			return Promise.of(ServerGate.noBackend("no backend server of the service can take the request"));
		}
		tried.add(chosen.get());
		OrderRun run = chosen.get().equals(this.self) ? this.own.run(order, admitted.cancellation())
				: this.others.execute(chosen.get(), order, admitted.cancellation());
		runs.add(run.over());
		return run.outcome().then((outcome) -> {
			boolean failed = outcome instanceof Outcome.Failed;
			this.chooser.onEnded(chosen.get(), requestClass, System.nanoTime() - begun, failed);
			if (outcome instanceof Outcome.Failed failure && again(order, failure, tried, admitted.cancellation())) {
				Promise<Outcome> next = attempt(admitted, tried, runs);
				return failure.certainlyNotRun() ? next : next.map(Outcome::afterUnknown);
			}
			return Promise.of(outcome);
		});
	}

	// Another server only for what certainly did not run, or may run twice.
	private boolean again(Order order, Outcome.Failed failed, Set<InstanceId> tried, Cancellation cancellation) {
		Ran ran = failed.backendLost() ? Ran.RAN : failed.failure().kind().ran();
		Duration remaining = Duration.ofMillis(order.remainingMillis(System.nanoTime()));
		RequestClass requestClass = order.request().requestClass();
		return tried.size() < MAX_TRIES && !cancellation.cancelled()
				&& (failed.resendPaid() ? this.retries.mayRetry(requestClass, ran, remaining)
						: this.retries.tryRetry(requestClass, ran, remaining));
	}

	private List<Candidate> candidates(ServiceName service, Set<InstanceId> tried) {
		List<CellView.Member> untried = this.cell.get()
			.members()
			.stream()
			.filter((member) -> member.service().filter(service::equals).isPresent())
			.filter((member) -> !tried.contains(member.instance()))
			.toList();
		boolean anyActive = untried.stream().anyMatch((member) -> member.phase().equals(MAY_OWN));
		return untried.stream()
			.filter((member) -> anyActive ? member.phase().equals(MAY_OWN) : member.instance().equals(this.self))
			.map((member) -> new Candidate(member.instance(), distance(member.instance()), Math.max(1, member.slots()),
					1.0))
			.toList();
	}

	private Duration distance(InstanceId instance) {
		return instance.equals(this.self) ? Duration.ZERO : this.others.roundTrip(instance);
	}

}
