package org.brasspier.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.admission.AdmissionDecision.Queued;
import org.brasspier.core.admission.AdmissionDecision.Refuse;
import org.brasspier.core.admission.AdmissionDecision.Run;
import org.brasspier.core.admission.AdmissionSettings.ClassRules;

/**
 * Decides for one backend server which request runs, waits or is refused at once. All
 * times are nanoseconds of one monotonic clock that the caller reads. Never refuses a
 * request that it has let run, so each of its refusals is "not run". Not thread-safe.
 * <p>
 * Use: {@link #offer} each request; hand over what is to run; call {@link #finished} once
 * for each handed over when the backend server is certainly no longer at it (its answer
 * came, or its connection is closed); call {@link #advance} every few milliseconds while
 * anything waits; carry out what the calls return.
 */
public final class AdmissionController {

	private AdmissionSettings settings;

	private final ServiceTimes times;

	private ClassScheduler turns;

	private final CallerShares shares = new CallerShares();

	/** How much of its mean a run may take at most for its request to be in time. */
	private static final double RUN_ALLOWANCE = 1.5;

	/** Requests for which there is always room to wait. */
	private static final int SHORT_QUEUE = 2;

	private final Map<RequestClass, RetryAfterEstimator> retryTimes = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, ClassQueue> queues = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, QueueWaitEstimator> paces = new EnumMap<>(RequestClass.class);

	private final Map<Long, WaitingRequest> waiting = new HashMap<>();

	private final Map<Long, Running> running = new HashMap<>();

	private final SlotAllocation slots;

	private boolean draining;

	/**
	 * Creates a controller with nothing running.
	 * @param limits what the backend server announced
	 * @param settings the rules of each class
	 */
	public AdmissionController(AdmissionLimits limits, AdmissionSettings settings) {
		this.settings = settings;
		this.times = new ServiceTimes(settings);
		this.turns = new ClassScheduler(settings, this.times);
		this.slots = new SlotAllocation(limits, this.times);
		Arrays.stream(RequestClass.values())
			.forEach((requestClass) -> this.queues.put(requestClass, new ClassQueue(this.shares)));
	}

	/**
	 * Decides on a new request.
	 * @param request the request; its id must not be waiting or running
	 * @param now the time
	 * @return whether it runs, waits or is refused
	 */
	public AdmissionDecision offer(PendingRequest request, long now) {
		this.slots.onOffered(request.requestClass(), now);
		if (this.draining) {
			return new Refuse(Failure.of(ErrorKind.NO_BACKEND, "the backend server is leaving"));
		}
		if (request.deadlineNanos() - now <= 0) {
			return new Refuse(Failure.of(ErrorKind.DEADLINE_PASSED, "the deadline passed on the way"));
		}
		if (hopeless(request, now)) {
			return new Refuse(overloaded("the deadline can't be met", request, now));
		}
		if (queue(request.requestClass()).isEmpty() && this.slots.hasFreeSlot(request.requestClass(), now)) {
			start(request, now);
			return new Run();
		}
		if (request.overdue() && retryTimes(request.requestClass()).overloaded(now)) {
			return new Refuse(overloaded("its target has passed and no slot is free", request, now));
		}
		return enqueue(request, now);
	}

	/**
	 * How long a request would wait for a slot if it were offered now.
	 * @param request the request
	 * @param now the time
	 * @return empty if it would run at once or be refused
	 */
	public Optional<Duration> expectedQueueWait(PendingRequest request, long now) {
		RequestClass requestClass = request.requestClass();
		boolean runs = queue(requestClass).isEmpty() && this.slots.hasFreeSlot(requestClass, now);
		double wait = expectedWait(requestClass, now);
		if (runs || this.draining || late(request, wait, now) || wait > usefulWait(requestClass)) {
			return Optional.empty();
		}
		return Optional.of(Duration.ofNanos((long) (wait + this.times.mean(requestClass) / this.slots.limit())));
	}

	// A caller's last resend, with less time left than its work takes. Even with a
	// free slot it would mostly run in vain, end as "unknown" and be paid for by others.
	// An idle server takes it all the same, or an estimate that a stall has raised would
	// refuse everything for good.
	private boolean hopeless(PendingRequest request, long now) {
		return !this.running.isEmpty() && now > latestUsefulStart(request);
	}

	private long latestUsefulStart(PendingRequest request) {
		return request.deadlineNanos() - (long) this.times.mean(request.requestClass());
	}

	/**
	 * Takes back the slot of a request.
	 * @param id the number of a request that was to run; unknown ones are ignored
	 * @param outcome how it ended
	 * @param now the time
	 * @return what runs next and what is given up
	 */
	public NextRequests finished(long id, RunOutcome outcome, long now) {
		Running ended = this.running.remove(id);
		if (ended == null) {
			return NextRequests.NONE;
		}
		long took = now - ended.sinceNanos();
		RequestClass requestClass = ended.request().requestClass();
		this.slots.release(requestClass, now);
		this.shares.charge(ended.request().caller(), took - ended.chargedNanos());
		this.shares.onEnded(ended.request().caller());
		learn(ended, outcome, took);
		return advance(now);
	}

	/**
	 * Gives up what can no longer make its deadline and fills slots that are free.
	 * @param now the time
	 * @return what runs next and what is given up
	 */
	public NextRequests advance(long now) {
		if (this.waiting.isEmpty()) {
			return NextRequests.NONE;
		}
		List<RefusedRequest> refused = giveUpLate(now);
		List<Long> run = new ArrayList<>();
		for (Optional<PendingRequest> next = take(now); next.isPresent(); next = take(now)) {
			run.add(next.get().id());
		}
		return new NextRequests(run, refused);
	}

	/**
	 * Forgets a waiting request whose caller is gone. A running one keeps its slot until
	 * {@link #finished}.
	 * @param id the number of the request
	 * @return true if it was waiting and so certainly will not run
	 */
	public boolean cancelWaiting(long id) {
		WaitingRequest entry = this.waiting.remove(id);
		return entry != null && queue(entry.request().requestClass()).remove(entry);
	}

	/**
	 * Takes over what the backend server announces now.
	 * @param limits the new limits
	 */
	public void updateLimits(AdmissionLimits limits) {
		this.slots.limits(limits);
	}

	/**
	 * Takes over what operators' document says of the service. What waits or runs goes
	 * on.
	 * @param changed the rules of each class
	 * @param callerPercent the most of the slots that a named caller may hold while
	 * others wait, in percent
	 */
	public void updateRules(AdmissionSettings changed, Map<CallerId, Integer> callerPercent) {
		this.settings = changed;
		this.turns = new ClassScheduler(changed, this.times);
		this.shares.maxPercent(callerPercent);
	}

	/**
	 * Refuses new requests from now on, or takes them again. What waits or runs goes on.
	 * @param leaving whether the backend server is leaving
	 */
	public void setDraining(boolean leaving) {
		this.draining = leaving;
	}

	/**
	 * Gives up everything that waits, as when the backend server is lost.
	 * @param failure the answer for all of it; its kind must be one that did not run
	 * @return the requests given up
	 */
	public List<RefusedRequest> refuseWaiting(Failure failure) {
		List<Long> all = List.copyOf(this.waiting.keySet());
		all.forEach(this::cancelWaiting);
		return all.stream().map((id) -> new RefusedRequest(id, failure)).toList();
	}

	/**
	 * How long a request of a class runs, from what was observed; what a refused request
	 * would have added to its range's load.
	 * @param requestClass the class
	 * @return the mean, in nanoseconds
	 */
	public long meanRunNanos(RequestClass requestClass) {
		return (long) this.times.mean(requestClass);
	}

	/**
	 * How many requests hold a slot.
	 * @return at least 0
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * How many requests wait.
	 * @return at least 0
	 */
	public int waiting() {
		return this.waiting.size();
	}

	/**
	 * How many requests of a class hold a slot.
	 * @param requestClass the class
	 * @return at least 0
	 */
	public int running(RequestClass requestClass) {
		return (int) this.running.values()
			.stream()
			.filter((entry) -> entry.request().requestClass() == requestClass)
			.count();
	}

	/**
	 * How many requests of a class wait.
	 * @param requestClass the class
	 * @return at least 0
	 */
	public int waiting(RequestClass requestClass) {
		return queue(requestClass).size();
	}

	private void learn(Running ended, RunOutcome outcome, long took) {
		RequestClass requestClass = ended.request().requestClass();
		switch (outcome) {
			case ANSWERED -> {
				this.slots.observed().observe(ended.concurrency(), took / Math.max(1, this.times.mean(requestClass)));
				this.times.observe(requestClass, took);
			}
			case INTERRUPTED -> this.times.observeAtLeast(requestClass, took);
			case SHED -> this.slots.observed().shed(ended.concurrency());
			case NOT_STARTED -> {
				// A refused fence at the first order taught a limit of one slot, which
				// turned callers away for a minute.
			}
		}
	}

	private AdmissionDecision enqueue(PendingRequest request, long now) {
		RequestClass requestClass = request.requestClass();
		double wait = expectedWait(requestClass, now);
		// Saturation: a request that can't make its deadline only takes a slot from one
		// that can, so it is told so before it waits.
		if (late(request, wait, now)) {
			return new Refuse(overloaded("the deadline can't be met", request, now));
		}
		Optional<RefusedRequest> displaced = Optional.empty();
		if (wait > usefulWait(requestClass)) {
			displaced = queue(requestClass).displaceFor(request.caller()).map((other) -> giveUp(other, now));
			if (displaced.isEmpty()) {
				return new Refuse(overloaded("the queue is full", request, now));
			}
		}
		if (queue(requestClass).isEmpty()) {
			pace(requestClass).onFirstQueued(now);
		}
		WaitingRequest entry = new WaitingRequest(request, latestStart(request, now));
		this.waiting.put(request.id(), entry);
		queue(requestClass).add(entry);
		return new Queued(displaced);
	}

	private boolean late(PendingRequest request, double wait, long now) {
		return now + wait + this.times.mean(request.requestClass()) > request.deadlineNanos();
	}

	// Under saturation every request that is let in waits as long as the queue allows, so
	// one that would be answered after its target is only let in in place of one that
	// would not. A short queue is allowed whatever the class takes, so that no slot
	// rests.
	private double usefulWait(RequestClass requestClass) {
		ClassRules rules = this.settings.of(requestClass);
		double mean = this.times.mean(requestClass);
		double inTime = rules.maxWait().toNanos() - RUN_ALLOWANCE * mean;
		double shortQueue = SHORT_QUEUE * mean / this.slots.limit();
		return Math.min(rules.maxExpectedWait().toNanos(), Math.max(inTime, shortQueue));
	}

	// Who has waited as long as its class may has been overtaken by others; its caller is
	// told at once instead of shortly before the deadline.
	private long latestStart(PendingRequest request, long now) {
		RequestClass requestClass = request.requestClass();
		return Math.min(latestUsefulStart(request), now + this.settings.of(requestClass).maxWait().toNanos());
	}

	private List<RefusedRequest> giveUpLate(long now) {
		List<RefusedRequest> refused = new ArrayList<>();
		for (RequestClass requestClass : RequestClass.values()) {
			queue(requestClass).removeLate(now).forEach((late) -> refused.add(giveUp(late, now)));
		}
		return refused;
	}

	private RefusedRequest giveUp(WaitingRequest entry, long now) {
		PendingRequest request = entry.request();
		this.waiting.remove(request.id());
		return new RefusedRequest(request.id(),
				overloaded("gave way to what can still be served in time", request, now));
	}

	private Optional<PendingRequest> take(long now) {
		Optional<RequestClass> turn = this.turns
			.next((requestClass) -> !queue(requestClass).isEmpty() && this.slots.hasFreeSlot(requestClass, now));
		Optional<PendingRequest> next = turn.flatMap((requestClass) -> queue(requestClass).take(this.slots.limit()))
			.map(WaitingRequest::request);
		next.ifPresent((request) -> {
			this.waiting.remove(request.id());
			pace(request.requestClass()).onDequeued(now);
			start(request, now);
			this.turns.onSlotTaken(request.requestClass(), (other) -> !queue(other).isEmpty());
		});
		return next;
	}

	private void start(PendingRequest request, long now) {
		double expected = this.times.mean(request.requestClass());
		this.slots.take(request.requestClass(), now);
		retryTimes(request.requestClass()).onStarted(now);
		this.shares.charge(request.caller(), expected);
		this.shares.onStarted(request.caller());
		this.running.put(request.id(), new Running(request, now, expected, this.running.size() + 1));
	}

	private double expectedWait(RequestClass requestClass, long now) {
		double ahead = Arrays.stream(RequestClass.values())
			.filter((other) -> other.compareTo(requestClass) <= 0)
			.mapToDouble((other) -> queue(other).size() * this.times.mean(other))
			.sum();
		int own = queue(requestClass).size();
		double observed = (own > 0) ? pace(requestClass).expectedWaitNanos(own + 1, now) : 0;
		return Math.max(ahead / this.slots.limit(), observed);
	}

	private Failure overloaded(String detail, PendingRequest request, long now) {
		RequestClass requestClass = request.requestClass();
		if (!request.overdue()) {
			retryTimes(requestClass).onRefused(now);
		}
		double turn = Math.max(this.times.mean(requestClass) / this.slots.limit(), queueTurn(requestClass, now));
		Duration pause = retryTimes(requestClass).nextPause(now, expectedWait(requestClass, now), turn);
		return new Failure(ErrorKind.OVERLOADED, detail, pause);
	}

	private RetryAfterEstimator retryTimes(RequestClass requestClass) {
		return this.retryTimes.computeIfAbsent(requestClass, (key) -> new RetryAfterEstimator());
	}

	// Where other classes go first, the queue moves slower than the server does.
	private double queueTurn(RequestClass requestClass, long now) {
		return queue(requestClass).isEmpty() ? 0 : pace(requestClass).expectedWaitNanos(1, now);
	}

	private ClassQueue queue(RequestClass requestClass) {
		return this.queues.computeIfAbsent(requestClass, (key) -> new ClassQueue(this.shares));
	}

	private QueueWaitEstimator pace(RequestClass requestClass) {
		return this.paces.computeIfAbsent(requestClass, (key) -> new QueueWaitEstimator());
	}

	private record Running(PendingRequest request, long sinceNanos, double chargedNanos, int concurrency) {

	}

}
