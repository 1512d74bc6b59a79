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
import org.brasspier.core.calls.CompletionListener;
import org.brasspier.core.calls.ReportedCallRoutes;
import org.brasspier.core.choosing.BackendChooser;
import org.brasspier.core.choosing.Candidate;
import org.brasspier.core.choosing.Choice;
import org.brasspier.core.choosing.SearchThrottle;
import org.brasspier.core.choosing.SlotSearch;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.load.GateReport;
import org.brasspier.core.mesh.InstanceBackoff;
import org.brasspier.core.mesh.OverdueRequestDetector;
import org.brasspier.core.mesh.RequestRetryPolicy;
import org.brasspier.core.mesh.RetryAfter;
import org.brasspier.core.mesh.RouteRule;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.mesh.ServiceRetryBudget;
import org.brasspier.core.request.Answer;
import org.brasspier.core.returns.RequestOrigin;
import org.brasspier.core.returns.ReturnStatus;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * Sends a request of a caller on this instance to a backend server: to the holder of its
 * key, or to the server that is expected to answer first. Sends it again to another
 * server where the retry policy allows. Not thread-safe: confined to the request thread.
 */
final class Dispatcher {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Penalty for servers in another failure domain, as a fraction of the target latency.
	 * Traffic between failure domains is billed, so a server in the same one is preferred
	 * as long as it still answers well within the target.
	 */
	private static final double REMOTE_DOMAIN_PENALTY = 0.35;

	/**
	 * A request is not sent again if less than the target latency divided by this is
	 * left.
	 */
	private static final int MIN_TIME_DIVISOR = 3;

	/**
	 * Fraction of the configured retry budget that the daemons use. The rest is a
	 * reserve: daemons do not count in step, and a called service also receives the calls
	 * made by retried requests, which are charged to the budgets of other services.
	 */
	private static final double BUDGET_SHARE = 0.6;

	/**
	 * Minimum number of daemons among which the slack is divided. Each daemon may spend
	 * its part at once, and a daemon that has just started knows only a few others.
	 */
	private static final int MIN_DAEMONS = 9;

	/**
	 * Callers give up somewhat before the deadline, when the answer can no longer reach
	 * them. A caller that leaves earlier does so for a reason of its own, which says
	 * nothing about the service.
	 */
	private static final long DEADLINE_MARGIN_NANOS = Duration.ofMillis(50).toNanos();

	private final MeshSettings settings;

	private final Directory directory;

	private final Supplier<RoutingConfig> config;

	private final BackendGate gate;

	private final HopClient hops;

	private final BackendCrashes crashes;

	private final MeshLog log;

	private final Map<ServiceName, BackendChooser> choosers = new HashMap<>();

	private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();

	private final Map<ServiceName, SearchThrottle> searchThrottles = new HashMap<>();

	private final Map<InstanceId, GateReport> hopReports = new HashMap<>();

	private final InstanceBackoff backoff = new InstanceBackoff();

	private final OverdueRequestDetector overdueDetector = new OverdueRequestDetector();

	private final SplittableRandom random = new SplittableRandom();

	private final ReportedCallRoutes callRoutes = new ReportedCallRoutes();

	private final CompletionListener completionListener;

	Dispatcher(MeshSettings settings, Directory directory, Supplier<RoutingConfig> config, BackendGate gate,
			HopClient hops, BackendCrashes crashes, MeshLog log) {
		this.settings = settings;
		this.directory = directory;
		this.config = config;
		this.gate = gate;
		this.hops = hops;
		this.crashes = crashes;
		this.log = log;
		this.completionListener = gate.calls().completionListener();
		// A report precedes the outcome with which it came, which names the route.
		hops.setReportReceiver((instance, report) -> {
			this.hopReports.put(instance, report);
			this.callRoutes.onReport(instance, report.callRoute());
		});
	}

	/**
	 * Dispatches a request.
	 * @param request the request
	 * @param route its route
	 * @param status whether it is the retry of a refused request
	 * @param cancellation cancelled when the caller no longer waits for the answer
	 * @return the outcome; never completes with an exception
	 */
	Promise<SendOutcome> dispatch(MeshRequest request, RouteRule route, ReturnStatus status,
			Cancellation cancellation) {
		ServiceName service = pickService(route);
		ServiceRetryBudget budget = this.budgets.computeIfAbsent(service, (key) -> newBudget());
		budget.setMostSaved(mostSaved());
		budget.recordRequest();
		return new DispatchedRequest(request, route, service, budget, origin(status), cancellation).run();
	}

	private RequestOrigin origin(ReturnStatus status) {
		return new RequestOrigin(status, this.settings.instance().value(), this.settings.failureDomain().value());
	}

	private ServiceName pickService(RouteRule route) {
		int total = route.services().stream().mapToInt((part) -> part.weight()).sum();
		if (route.services().size() == 1 || total == 0) {
			return route.services().get(0).service();
		}
		int draw = this.random.nextInt(total);
		for (var part : route.services()) {
			draw -= part.weight();
			if (draw < 0) {
				return part.service();
			}
		}
		return route.services().get(0).service();
	}

	// The slack is divided among all daemons, whose number is that of the rows in the
	// store.
	private int mostSaved() {
		int daemons = Math.max(MIN_DAEMONS, this.directory.size());
		return Math.max(1, (int) (this.settings.bounds().retries().slack() * BUDGET_SHARE / daemons));
	}

	private ServiceRetryBudget newBudget() {
		return new ServiceRetryBudget(this.settings.bounds().retries().ratio() * BUDGET_SHARE, mostSaved());
	}

	private BackendChooser chooser(ServiceName service) {
		int daemons = Math.max(1, this.directory.size());
		BackendChooser chooser = this.choosers.computeIfAbsent(service,
				(key) -> new BackendChooser(daemons, this.random.split()));
		chooser.daemonCount(daemons);
		return chooser;
	}

	// Returns the number of services whose servers are chosen by reported load.
	long servicesChosenByReports() {
		return this.choosers.values().stream().filter(BackendChooser::usesReports).count();
	}

	static String describe(SendOutcome outcome) {
		return switch (outcome) {
			case SendOutcome.Answered answered -> "status " + answered.answer().status();
			case SendOutcome.NotRun notRun -> "not run, " + notRun.failure().kind() + ": " + notRun.failure().detail();
			case SendOutcome.Unknown unknown -> unknown.failure().kind() + ": " + unknown.failure().detail();
		};
	}

	/**
	 * One request and its attempts.
	 */
	private final class DispatchedRequest {

		private final MeshRequest request;

		private final RouteRule route;

		private final ServiceName service;

		private final RequestClass requestClass;

		private final RequestRetryPolicy retryPolicy;

		private final boolean overdue;

		private final RequestOrigin origin;

		private final Cancellation cancellation;

		private final long deadlineNanos;

		private final Set<InstanceId> tried = new HashSet<>();

		private final SearchThrottle searchThrottle;

		private final SlotSearch search;

		DispatchedRequest(MeshRequest request, RouteRule route, ServiceName service, ServiceRetryBudget budget,
				RequestOrigin origin, Cancellation cancellation) {
			this.request = request;
			this.route = route;
			this.service = service;
			this.requestClass = Dispatcher.this.config.get().requestClass(route, service);
			this.retryPolicy = new RequestRetryPolicy(route, budget);
			this.searchThrottle = Dispatcher.this.searchThrottles.computeIfAbsent(service,
					(key) -> new SearchThrottle());
			this.search = new SlotSearch(sharded() || this.searchThrottle.shouldSearch());
			boolean mayBeLate = origin.isOnTime() && route.acceptsLateAnswers();
			this.overdue = Dispatcher.this.overdueDetector.isOverdue(route, request.remainingMillis()) && !mayBeLate;
			this.origin = origin;
			this.cancellation = cancellation;
			long millis = Math.min(request.remainingMillis(), route.timeout().toMillis());
			this.deadlineNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
		}

		Promise<SendOutcome> run() {
			return attempt().whenResult(this::onCompleted);
		}

		private void onCompleted(SendOutcome outcome) {
			long now = System.nanoTime();
			boolean left = this.cancellation.isCancelled() && now < this.deadlineNanos - DEADLINE_MARGIN_NANOS;
			if (outcome instanceof SendOutcome.Answered || !left) {
				Dispatcher.this.completionListener.onCompleted(this.route.name(), outcome,
						Dispatcher.this.callRoutes.isCallRoute(this.route.name()), now);
			}
		}

		private Promise<SendOutcome> attempt() {
			long now = System.nanoTime();
			int remaining = (int) ((this.deadlineNanos - now) / NANOS_PER_MILLI);
			if (remaining <= 0 || this.cancellation.isCancelled()) {
				return Promise.of(new SendOutcome.NotRun(
						Failure.of(ErrorKind.DEADLINE_PASSED, "the deadline passed before the request was sent"),
						false));
			}
			if (Dispatcher.this.crashes.isBlocked(this.request, Dispatcher.this.settings.backend().service())) {
				return Promise.of(new SendOutcome.NotRun(GateChecks.blockedFailure(), false));
			}
			if (sharded()) {
				return holder(now).map((target) -> send(target, "KEY", remaining, now))
					.orElseGet(() -> Promise.of(noTarget(remaining)));
			}
			Optional<Choice> choice = choose(now);
			return choice.flatMap((chosen) -> Dispatcher.this.directory.member(chosen.instance()))
				.map((target) -> send(target, choice.get().reason().name(), remaining, now))
				.orElseGet(() -> Promise.of(noTarget(remaining)));
		}

		private boolean sharded() {
			return this.request.key().isPresent()
					&& Dispatcher.this.config.get().service(this.service).filter((rule) -> rule.sharded()).isPresent();
		}

		private Optional<Member> holder(long now) {
			Optional<KeyMap> map = Dispatcher.this.directory.keys(this.service);
			return map.map((known) -> known.holding(this.request.key().getAsInt()).holder())
				.flatMap(Dispatcher.this.directory::member)
				.filter((member) -> !Dispatcher.this.hops.isUnreachable(member.instance(), now));
		}

		private Optional<Choice> choose(long now) {
			List<Candidate> candidates = untried(now).stream().map(this::candidate).toList();
			boolean onlyOne = this.tried.isEmpty() && candidates.size() == 1;
			if (candidates.isEmpty() || onlyOne || this.search.mayWait()) {
				Optional<InstanceId> shortest = this.search.takeShortestWait();
				if (shortest.isPresent()) {
					chooser(this.service).onChosen(shortest.get(), this.requestClass, this.route.name(), now);
					return shortest.map((instance) -> new Choice(instance, Choice.Reason.SHORTEST_WAIT));
				}
			}
			return chooser(this.service).chooseWithReason(candidates, this.requestClass, this.route.name(), now);
		}

		// Returns the instances to which the request may be sent. An instance that was
		// unreachable or had no server recently is used only if no other is known: trying
		// it after a full server has rejected the request would delay the answer to the
		// caller by a tenth of a second for nothing.
		private List<Member> untried(long now) {
			List<Member> serving = Dispatcher.this.directory.serving(this.service);
			List<Member> untried = serving.stream()
				.filter((member) -> !this.tried.contains(member.instance()))
				.filter((member) -> !Dispatcher.this.hops.shouldAvoid(member.instance(), now))
				.filter((member) -> !Dispatcher.this.backoff.shouldAvoid(member.instance(), now))
				.toList();
			return (untried.isEmpty() && this.tried.isEmpty()) ? serving : untried;
		}

		private Candidate candidate(Member member) {
			boolean sameDomain = member.failureDomain().equals(Dispatcher.this.settings.failureDomain());
			Duration penalty = sameDomain ? Duration.ZERO
					: Duration.ofNanos((long) (this.route.targetLatency().toNanos() * REMOTE_DOMAIN_PENALTY));
			return new Candidate(member.instance(), penalty, member.slots(), 1, member.perSecond());
		}

		private SendOutcome noTarget(int remaining) {
			Duration pause = RetryAfter.of(Duration.ZERO, Duration.ofMillis(remaining));
			return new SendOutcome.NotRun(new Failure(sharded() ? ErrorKind.NO_OWNER : ErrorKind.NO_BACKEND,
					"no backend server of " + this.service + " can take the request now", pause), false);
		}

		private Promise<SendOutcome> send(Member target, String reason, int remaining, long now) {
			this.tried.add(target.instance());
			Dispatcher.this.log.record(MeshEvent.REQUEST_SENT, "request", this.request.id(), "to", target.instance(),
					"service", this.service, "reason", reason, "daemons",
					sharded() ? 0 : chooser(this.service).daemonCount(), "left_ms", remaining);
			HopRequest forwarded = new HopRequest(this.service, Dispatcher.this.settings.backend().service(),
					this.requestClass, this.route.idempotent(), this.overdue, sharded() || this.search.mayWait(),
					this.request, this.route.name(), this.origin)
				.withRemainingMillis(remaining);
			boolean local = target.instance().equals(Dispatcher.this.settings.instance());
			Promise<SendOutcome> outcome = local ? Dispatcher.this.gate.run(forwarded, 0, this.cancellation)
					: Dispatcher.this.hops.send(target, forwarded, this.cancellation);
			return outcome.then((end) -> {
				Optional<GateReport> report = local ? Dispatcher.this.gate.report(forwarded)
						: Optional.ofNullable(Dispatcher.this.hopReports.remove(target.instance()));
				report.ifPresent((known) -> onReport(target, known));
				return onOutcome(target, now, forwarded.mayQueue(), end);
			});
		}

		// A sharded service's requests go to the holder of their key, whatever its load.
		private void onReport(Member target, GateReport report) {
			if (sharded()) {
				return;
			}
			BackendChooser chooser = chooser(this.service);
			boolean used = chooser.usesReports();
			chooser.onReport(target.instance(), target.incarnation(), this.requestClass, this.route.name(), report,
					System.nanoTime());
			if (chooser.usesReports() != used) {
				Dispatcher.this.log.record(MeshEvent.LOAD_REPORTS_USED, "service", this.service, "used", !used);
			}
		}

		private Promise<SendOutcome> onOutcome(Member target, long sentNanos, boolean mayQueue, SendOutcome outcome) {
			recordCallRoute(target);
			recordOutcome(target, sentNanos, mayQueue, outcome);
			long leftNanos = this.deadlineNanos - System.nanoTime();
			boolean enoughTime = leftNanos > this.route.targetLatency().toNanos() / MIN_TIME_DIVISOR
					&& !this.cancellation.isCancelled();
			if (this.retryPolicy.shouldRetry(outcome, enoughTime && canTryAgain(target, outcome))) {
				Dispatcher.this.log.record(MeshEvent.REQUEST_RESENT, "request", this.request.id(), "after",
						target.instance(), "outcome", describe(outcome), "left_ms", leftNanos / NANOS_PER_MILLI);
				return attempt().map((later) -> combined(outcome, later));
			}
			return Promise.of(outcome);
		}

		// Returns whether sending again can have another outcome. A key has one holder,
		// which would reject the request again unless the server itself failed or the key
		// has moved to another holder by now. Without a key, there must be an instance
		// that has not been tried.
		private boolean canTryAgain(Member target, SendOutcome outcome) {
			if (sharded()) {
				boolean rejected = outcome instanceof SendOutcome.NotRun notRun && !notRun.reachedBackend();
				return !rejected || holder(System.nanoTime()).filter((member) -> !member.equals(target)).isPresent();
			}
			return !untried(System.nanoTime()).isEmpty();
		}

		// If an earlier attempt may have run, a later "not run" is not true of the whole
		// request, so the earlier outcome is returned.
		private SendOutcome combined(SendOutcome earlier, SendOutcome later) {
			return (later instanceof SendOutcome.NotRun && this.retryPolicy.mayHaveRun()) ? earlier : later;
		}

		private void recordCallRoute(Member target) {
			if (target.instance().equals(Dispatcher.this.settings.instance())) {
				Dispatcher.this.callRoutes.record(this.route.name(),
						Dispatcher.this.gate.calls().isCallRoute(this.route.name()));
			}
			else {
				Dispatcher.this.callRoutes.onOutcome(this.route.name(), target.instance());
			}
		}

		private void recordOutcome(Member target, long sentNanos, boolean mayQueue, SendOutcome outcome) {
			if (sharded()) {
				return;
			}
			if (this.cancellation.isCancelled()) {
				chooser(this.service).onCancelled(target.instance());
				return;
			}
			long now = System.nanoTime();
			if (outcome instanceof SendOutcome.NotRun notRun && notRun.failure().kind() == ErrorKind.NO_BACKEND) {
				Dispatcher.this.backoff.recordFailure(target.instance(), now);
			}
			else {
				Dispatcher.this.backoff.recordSuccess(target.instance());
			}
			long tookNanos = now - sentNanos;
			boolean failed = !(outcome instanceof SendOutcome.Answered answered)
					|| answered.answer().status() >= ErrorKind.INTERNAL_ERROR.status();
			if (outcome instanceof SendOutcome.NotRun notRun && notRun.failure().kind() == ErrorKind.NO_FREE_SLOT) {
				Duration wait = notRun.failure().retryAfter();
				chooser(this.service).onFull(target.instance(), wait, now);
				this.search.onFull(target.instance(), wait);
				if (this.search.mayWait()) {
					this.searchThrottle.onNoSlotFound();
				}
			}
			else {
				if (outcome instanceof SendOutcome.Answered(Answer answer)) {
					chooser(this.service).onAnswer(this.route.name(), answer.body().length);
				}
				chooser(this.service).onEnded(target.instance(), this.requestClass, this.route.name(), tookNanos,
						failed);
				if (!mayQueue && reachedBackend(outcome)) {
					this.searchThrottle.onSlotFound();
				}
			}
		}

		private static boolean reachedBackend(SendOutcome outcome) {
			return switch (outcome) {
				case SendOutcome.Answered ignored -> true;
				case SendOutcome.NotRun notRun -> notRun.reachedBackend();
				case SendOutcome.Unknown ignored -> false;
			};
		}

	}

}
