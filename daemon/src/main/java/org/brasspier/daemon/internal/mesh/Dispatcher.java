package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.choosing.BackendChooser;
import org.brasspier.core.choosing.Candidate;
import org.brasspier.core.choosing.Choice;
import org.brasspier.core.choosing.SearchThrottle;
import org.brasspier.core.choosing.SlotSearch;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.mesh.InstanceBackoff;
import org.brasspier.core.mesh.OverdueRequestDetector;
import org.brasspier.core.mesh.RequestRetryPolicy;
import org.brasspier.core.mesh.RetryAfter;
import org.brasspier.core.mesh.RouteRule;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.mesh.ServiceRetryBudget;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * Brings a request of a caller on this instance to a backend server: the holder of its
 * key, or the one whose answer can be expected first. Belongs to the thread of requests.
 */
final class Dispatcher {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * What another failure domain counts for, as a share of the target latency: bytes
	 * between failure domains are paid for, so the own one is taken as long as the answer
	 * still comes well in time there.
	 */
	private static final double FAR_SHARE = 0.35;

	/** A send isn't worth while with less than this share of the target latency left. */
	private static final int LEAST_TIME_DIVISOR = 3;

	/**
	 * A part of the operators' bound is kept back: daemons don't count in step, and a
	 * called service also gets the calls of repeats that other services' budgets pay for.
	 */
	private static final double BUDGET_SHARE = 0.6;

	/**
	 * Daemons that are counted on at least, while few are known yet: each may spend its
	 * part of the slack at once.
	 */
	private static final int FEWEST_DAEMONS = 9;

	private final MeshSettings settings;

	private final Directory directory;

	private final Supplier<RoutingConfig> config;

	private final BackendGate gate;

	private final HopClient hops;

	private final BackendCrashes crashes;

	private final MeshLog log;

	private final Map<ServiceName, BackendChooser> choosers = new HashMap<>();

	private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();

	private final Map<ServiceName, SearchThrottle> searchPaces = new HashMap<>();

	private final InstanceBackoff absences = new InstanceBackoff();

	private final OverdueRequestDetector overdueRequests = new OverdueRequestDetector();

	private final SplittableRandom random = new SplittableRandom();

	Dispatcher(MeshSettings settings, Directory directory, Supplier<RoutingConfig> config, BackendGate gate,
			HopClient hops, BackendCrashes crashes, MeshLog log) {
		this.settings = settings;
		this.directory = directory;
		this.config = config;
		this.gate = gate;
		this.hops = hops;
		this.crashes = crashes;
		this.log = log;
	}

	/**
	 * Brings a request on its way.
	 * @param request the request
	 * @param route its route
	 * @param cancellation tells when its caller is gone
	 * @return what came of it; never an exception
	 */
	Promise<SendOutcome> dispatch(MeshRequest request, RouteRule route, Cancellation cancellation) {
		ServiceName service = service(route);
		ServiceRetryBudget budget = this.budgets.computeIfAbsent(service, (key) -> budget());
		budget.setMostSaved(mostSaved());
		budget.recordRequest();
		return new Course(request, route, service, budget, cancellation).attempt();
	}

	private ServiceName service(RouteRule route) {
		int total = route.services().stream().mapToInt((part) -> part.weight()).sum();
		if (route.services().size() == 1 || total == 0) {
			return route.services().get(0).service();
		}
		int lot = this.random.nextInt(total);
		for (var part : route.services()) {
			lot -= part.weight();
			if (lot < 0) {
				return part.service();
			}
		}
		return route.services().get(0).service();
	}

	// The slack is shared by all daemons, whose number is taken from the store's rows.
	private int mostSaved() {
		int daemons = Math.max(FEWEST_DAEMONS, this.directory.size());
		return Math.max(1, (int) (this.settings.bounds().retries().slack() * BUDGET_SHARE / daemons));
	}

	private ServiceRetryBudget budget() {
		return new ServiceRetryBudget(this.settings.bounds().retries().ratio() * BUDGET_SHARE, mostSaved());
	}

	private BackendChooser chooser(ServiceName service) {
		int daemons = Math.max(1, this.directory.size());
		BackendChooser chooser = this.choosers.computeIfAbsent(service,
				(key) -> new BackendChooser(daemons, this.random.split()));
		chooser.daemonCount(daemons);
		return chooser;
	}

	static String describe(SendOutcome outcome) {
		return switch (outcome) {
			case SendOutcome.Answered answered -> "status " + answered.answer().status();
			case SendOutcome.NotRun notRun -> "not run, " + notRun.failure().kind() + ": " + notRun.failure().detail();
			case SendOutcome.Unknown unknown -> unknown.failure().kind() + ": " + unknown.failure().detail();
		};
	}

	/**
	 * One request on its way.
	 */
	private final class Course {

		private final MeshRequest request;

		private final RouteRule route;

		private final ServiceName service;

		private final RequestClass requestClass;

		private final RequestRetryPolicy rules;

		private final boolean overdue;

		private final Cancellation cancellation;

		private final long deadlineNanos;

		private final Set<InstanceId> tried = new HashSet<>();

		private final SearchThrottle searchPace;

		private final SlotSearch search;

		Course(MeshRequest request, RouteRule route, ServiceName service, ServiceRetryBudget budget,
				Cancellation cancellation) {
			this.request = request;
			this.route = route;
			this.service = service;
			this.requestClass = Dispatcher.this.config.get().requestClass(route, service);
			this.rules = new RequestRetryPolicy(route, budget);
			this.searchPace = Dispatcher.this.searchPaces.computeIfAbsent(service, (key) -> new SearchThrottle());
			this.search = new SlotSearch(byKey() || this.searchPace.shouldSearch());
			this.overdue = Dispatcher.this.overdueRequests.isOverdue(route, request.remainingMillis());
			this.cancellation = cancellation;
			long millis = Math.min(request.remainingMillis(), route.timeout().toMillis());
			this.deadlineNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
		}

		Promise<SendOutcome> attempt() {
			long now = System.nanoTime();
			int remaining = (int) ((this.deadlineNanos - now) / NANOS_PER_MILLI);
			if (remaining <= 0 || this.cancellation.isCancelled()) {
				return Promise.of(new SendOutcome.NotRun(
						Failure.of(ErrorKind.DEADLINE_PASSED, "the deadline passed before it was sent"), false));
			}
			if (Dispatcher.this.crashes.isBlocked(this.request)) {
				return Promise.of(new SendOutcome.NotRun(BackendGate.blockedFailure(), false));
			}
			if (byKey()) {
				return holder(now).map((target) -> send(target, "KEY", remaining, now))
					.orElseGet(() -> Promise.of(nobody(remaining)));
			}
			Optional<Choice> choice = choice(now);
			return choice.flatMap((chosen) -> Dispatcher.this.directory.member(chosen.instance()))
				.map((target) -> send(target, choice.get().reason().name(), remaining, now))
				.orElseGet(() -> Promise.of(nobody(remaining)));
		}

		private boolean byKey() {
			return this.request.key().isPresent()
					&& Dispatcher.this.config.get().service(this.service).filter((rule) -> rule.sharded()).isPresent();
		}

		private Optional<Member> holder(long now) {
			Optional<KeyMap> map = Dispatcher.this.directory.keys(this.service);
			return map.map((known) -> known.holding(this.request.key().getAsInt()).holder())
				.flatMap(Dispatcher.this.directory::member)
				.filter((member) -> !Dispatcher.this.hops.unreachable(member.instance(), now));
		}

		private Optional<Choice> choice(long now) {
			List<Candidate> candidates = untried(now).stream().map(this::candidate).toList();
			boolean onlyOne = this.tried.isEmpty() && candidates.size() == 1;
			if (candidates.isEmpty() || onlyOne || this.search.mayWait()) {
				Optional<InstanceId> shortest = this.search.takeShortestWait();
				if (shortest.isPresent()) {
					chooser(this.service).onChosen(shortest.get(), now);
					return shortest.map((instance) -> new Choice(instance, Choice.Reason.SHORTEST_WAIT));
				}
			}
			return chooser(this.service).chooseWithReason(candidates, this.requestClass, now);
		}

		// Those that may be asked. One that could not be reached or had no server lately
		// is asked only if no other is known: asking it after a full one has turned the
		// request away would keep the caller waiting a tenth of a second for nothing.
		private List<Member> untried(long now) {
			List<Member> serving = Dispatcher.this.directory.serving(this.service);
			List<Member> untried = serving.stream()
				.filter((member) -> !this.tried.contains(member.instance()))
				.filter((member) -> !Dispatcher.this.hops.shouldAvoid(member.instance(), now))
				.filter((member) -> !Dispatcher.this.absences.shouldAvoid(member.instance(), now))
				.toList();
			return (untried.isEmpty() && this.tried.isEmpty()) ? serving : untried;
		}

		private Candidate candidate(Member member) {
			boolean near = member.failureDomain().equals(Dispatcher.this.settings.failureDomain());
			Duration distance = near ? Duration.ZERO
					: Duration.ofNanos((long) (this.route.targetLatency().toNanos() * FAR_SHARE));
			return new Candidate(member.instance(), distance, member.slots(), 1);
		}

		private SendOutcome nobody(int remaining) {
			Duration pause = RetryAfter.of(Duration.ZERO, Duration.ofMillis(remaining));
			return new SendOutcome.NotRun(new Failure(byKey() ? ErrorKind.NO_OWNER : ErrorKind.NO_BACKEND,
					"no backend server of " + this.service + " can take it now", pause), false);
		}

		private Promise<SendOutcome> send(Member target, String reason, int remaining, long now) {
			this.tried.add(target.instance());
			Dispatcher.this.log.record(MeshEvent.REQUEST_SENT, "request", this.request.id(), "to", target.instance(),
					"service", this.service, "reason", reason, "daemons",
					byKey() ? 0 : chooser(this.service).daemonCount(), "left_ms", remaining);
			HopRequest ask = new HopRequest(this.service, Dispatcher.this.settings.backend().service(),
					this.requestClass, this.route.idempotent(), this.overdue, byKey() || this.search.mayWait(),
					this.request)
				.withRemainingMillis(remaining);
			boolean here = target.instance().equals(Dispatcher.this.settings.instance());
			Promise<SendOutcome> outcome = here ? Dispatcher.this.gate.run(ask, 0, this.cancellation)
					: Dispatcher.this.hops.send(target, ask, this.cancellation);
			return outcome.then((end) -> next(target, now, ask.mayQueue(), end));
		}

		private Promise<SendOutcome> next(Member target, long sentNanos, boolean mightWait, SendOutcome end) {
			learn(target, sentNanos, mightWait, end);
			long left = this.deadlineNanos - System.nanoTime();
			boolean enoughTime = left > this.route.targetLatency().toNanos() / LEAST_TIME_DIVISOR
					&& !this.cancellation.isCancelled();
			if (this.rules.shouldRetry(end, enoughTime && another(target, end))) {
				Dispatcher.this.log.record(MeshEvent.REQUEST_RESENT, "request", this.request.id(), "after",
						target.instance(), "outcome", describe(end), "left_ms", left / NANOS_PER_MILLI);
				return attempt().map((later) -> better(end, later));
			}
			return Promise.of(end);
		}

		// A key has one holder. Asked again at once it would say the same again, unless
		// another one holds the key by now or the server itself failed; else somebody new
		// must be left.
		private boolean another(Member target, SendOutcome end) {
			if (byKey()) {
				boolean turnedAway = end instanceof SendOutcome.NotRun notRun && !notRun.reachedBackend();
				return !turnedAway || holder(System.nanoTime()).filter((member) -> !member.equals(target)).isPresent();
			}
			return !untried(System.nanoTime()).isEmpty();
		}

		// An earlier send may have run, so "not run" would be untrue.
		private SendOutcome better(SendOutcome earlier, SendOutcome later) {
			return (later instanceof SendOutcome.NotRun && this.rules.mayHaveRun()) ? earlier : later;
		}

		private void learn(Member target, long sentNanos, boolean mightWait, SendOutcome end) {
			if (byKey()) {
				return;
			}
			long now = System.nanoTime();
			if (end instanceof SendOutcome.NotRun notRun && notRun.failure().kind() == ErrorKind.NO_BACKEND) {
				Dispatcher.this.absences.recordFailure(target.instance(), now);
			}
			else {
				Dispatcher.this.absences.recordSuccess(target.instance());
			}
			long took = now - sentNanos;
			boolean failed = !(end instanceof SendOutcome.Answered answered)
					|| answered.answer().status() >= ErrorKind.INTERNAL_ERROR.status();
			if (this.cancellation.isCancelled()) {
				chooser(this.service).onCancelled(target.instance());
			}
			else if (end instanceof SendOutcome.NotRun notRun && notRun.failure().kind() == ErrorKind.NO_FREE_SLOT) {
				Duration wait = notRun.failure().retryAfter();
				chooser(this.service).onFull(target.instance(), wait, now);
				this.search.onFull(target.instance(), wait);
				if (this.search.mayWait()) {
					this.searchPace.onNoSlotFound();
				}
			}
			else {
				chooser(this.service).onEnded(target.instance(), this.requestClass, took, failed);
				if (!mightWait && reached(end)) {
					this.searchPace.onSlotFound();
				}
			}
		}

		private static boolean reached(SendOutcome end) {
			return switch (end) {
				case SendOutcome.Answered ignored -> true;
				case SendOutcome.NotRun notRun -> notRun.reachedBackend();
				case SendOutcome.Unknown ignored -> false;
			};
		}

	}

}
