package org.brasspier.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.admission.AdmissionDecision.Queued;
import org.brasspier.core.admission.AdmissionDecision.Refuse;
import org.brasspier.core.admission.AdmissionDecision.Run;
import org.brasspier.core.admission.AdmissionSettings.ClassRules;
import org.brasspier.core.coldstart.StartLimit;
import org.brasspier.core.cost.WaitingCounts;
import org.brasspier.core.load.OutstandingWork;
import org.brasspier.core.load.ServerLoad;
import org.brasspier.core.returns.ReturnStatus;
import org.brasspier.core.returns.ReturnTime;

/**
 * Admission control for one backend server: decides which requests run, wait or are
 * refused. All times are nanoseconds of one monotonic clock that the caller reads. Never
 * refuses a request after starting it, so each of its refusals means "not run". Not
 * thread-safe.
 * <p>
 * Usage: {@link #offer} each request; send requests that are to run to the backend
 * server; call {@link #finished} once for each of them when the backend server has
 * certainly stopped processing it (it answered, or the connection is closed); call
 * {@link #advance} every few milliseconds while requests wait; carry out what the calls
 * return.
 */
public final class AdmissionController {

	private AdmissionSettings settings;

	private final ServiceTimes times;

	private ClassScheduler scheduler;

	private final CallerShares shares = new CallerShares();

	/**
	 * Multiple of the mean service time that a run is expected to need at most when
	 * checking whether a request finishes within its target.
	 */
	private static final double RUN_TIME_FACTOR = 1.5;

	/** Number of requests that may always wait, whatever the class permits. */
	private static final int MIN_QUEUE_LENGTH = 2;

	/**
	 * Part of the longest useful wait up to which requests of an instance may queue that
	 * has had clearly more slot time than others. The order of the queue alone would not
	 * help the others: a flood fills the queue, and they would not be admitted to it.
	 */
	private static final double OVER_SHARE_QUEUE = 0.5;

	private final RetryAfterEstimators retryAfter = new RetryAfterEstimators();

	private final Map<RequestClass, RankedQueue> queues = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, Map<Integer, QueueWaitEstimator>> waitEstimators = new EnumMap<>(
			RequestClass.class);

	private final Map<Long, WaitingRequest> waiting = new HashMap<>();

	private final Map<Long, Running> running = new HashMap<>();

	private final Map<RequestClass, WaitingCounts> waitingCounts = new EnumMap<>(RequestClass.class);

	private final OutstandingWork work = new OutstandingWork();

	private final SlotAllocation slots;

	private final StartLimit startLimit;

	private boolean draining;

	/**
	 * Creates a controller without running requests.
	 * @param limits the limits announced by the backend server
	 * @param settings the rules of each class
	 */
	public AdmissionController(AdmissionLimits limits, AdmissionSettings settings) {
		this(limits, settings, StartLimit.NONE);
	}

	/**
	 * Creates a controller without running requests.
	 * @param limits the limits announced by the backend server
	 * @param settings the rules of each class
	 * @param startLimit limits the rate at which requests start
	 */
	public AdmissionController(AdmissionLimits limits, AdmissionSettings settings, StartLimit startLimit) {
		this.settings = settings;
		this.startLimit = startLimit;
		this.times = new ServiceTimes(settings);
		this.scheduler = new ClassScheduler(settings, this.times);
		this.slots = new SlotAllocation(limits, this.times);
	}

	/**
	 * Decides on a new request.
	 * @param request the request; its id must not be in use by a waiting or running
	 * request
	 * @param now the current time, in nanoseconds
	 * @return whether it runs, waits or is refused
	 */
	public AdmissionDecision offer(PendingRequest request, long now) {
		this.slots.onOffered(request.requestClass(), now);
		if (request.isPunctualReturn()) {
			this.retryAfter.of(request).takePlace(now);
		}
		if (this.draining) {
			return new Refuse(Failure.of(ErrorKind.NO_BACKEND, "the backend server is draining"));
		}
		if (request.deadlineNanos() - now <= 0) {
			return new Refuse(Failure.of(ErrorKind.DEADLINE_PASSED, "the deadline passed before admission"));
		}
		if (cannotFinishInTime(request, now)) {
			return new Refuse(overloaded("the deadline can't be met", request, now));
		}
		if (queue(request.requestClass()).isEmpty() && mayStart(request.requestClass(), now)) {
			start(request, now);
			return new Run();
		}
		if (request.overdue() && this.retryAfter.of(request).isOverloaded(now)) {
			return new Refuse(overloaded("its target latency has passed and no slot is free", request, now));
		}
		return enqueue(request, now);
	}

	/**
	 * Returns how long a request would wait for a slot if it were offered now.
	 * @param request the request
	 * @param now the current time, in nanoseconds
	 * @return empty if it would run at once or be refused
	 */
	public Optional<Duration> expectedQueueWait(PendingRequest request, long now) {
		RequestClass requestClass = request.requestClass();
		boolean runs = queue(requestClass).isEmpty() && mayStart(requestClass, now);
		double wait = expectedWait(request, now);
		if (runs || this.draining || late(request, wait, now) || wait > maxUsefulWait(request, now)) {
			return Optional.empty();
		}
		return Optional.of(Duration.ofNanos((long) (wait + this.times.mean(requestClass) / this.slots.limit())));
	}

	// Detects a request with less time left than its run takes, such as a caller's last
	// resend. Even with a free slot it would usually run in vain, end as "unknown" and
	// delay other requests. An idle server accepts it nevertheless; otherwise an estimate
	// raised by a stall would refuse all requests forever.
	private boolean cannotFinishInTime(PendingRequest request, long now) {
		return !this.running.isEmpty() && now > latestUsefulStart(request);
	}

	private long latestUsefulStart(PendingRequest request) {
		return request.deadlineNanos() - (long) this.times.mean(request);
	}

	/**
	 * Releases the slot of a request.
	 * @param id the number of a running request; unknown numbers are ignored
	 * @param outcome how it ended
	 * @param now the current time, in nanoseconds
	 * @return which requests run next and which are refused
	 */
	public NextRequests finished(long id, RunOutcome outcome, long now) {
		Running ended = this.running.remove(id);
		if (ended == null) {
			return NextRequests.NONE;
		}
		long took = now - ended.startNanos();
		RequestClass requestClass = ended.request().requestClass();
		this.slots.release(requestClass, now);
		this.shares.charge(ended.request().caller(), took - ended.expectedNanos());
		entryShares(requestClass).charge(ended.request().origin(), took - ended.expectedNanos(), 0, now);
		this.shares.onEnded(ended.request().caller());
		this.work.onEnded(id, outcome == RunOutcome.ANSWERED, now);
		recordOutcome(ended, outcome, took);
		return advance(now);
	}

	/**
	 * Refuses waiting requests that can no longer meet their deadline and fills free
	 * slots.
	 * @param now the current time, in nanoseconds
	 * @return which requests run next and which are refused
	 */
	public NextRequests advance(long now) {
		if (this.waiting.isEmpty()) {
			return NextRequests.NONE;
		}
		List<RefusedRequest> refused = dropLate(now);
		List<Long> run = new ArrayList<>();
		for (Optional<PendingRequest> next = take(now); next.isPresent(); next = take(now)) {
			run.add(next.get().id());
		}
		return new NextRequests(run, refused);
	}

	/**
	 * Removes a waiting request whose caller has disconnected. A running request keeps
	 * its slot until {@link #finished}.
	 * @param id the number of the request
	 * @return true if it was waiting, so that it certainly will not run
	 */
	public boolean cancelWaiting(long id) {
		WaitingRequest entry = this.waiting.remove(id);
		if (entry == null) {
			return false;
		}
		waitingCounts(entry.request().requestClass()).remove(entry.request().route());
		return queue(entry.request().requestClass()).remove(entry);
	}

	/**
	 * Applies the limits that the backend server announces.
	 * @param limits the new limits
	 */
	public void updateLimits(AdmissionLimits limits) {
		this.slots.limits(limits);
	}

	/**
	 * Applies the service's rules from the operators' document. Waiting and running
	 * requests are not affected.
	 * @param newSettings the rules of each class
	 * @param callerPercent the largest percentage of the slots that a named caller may
	 * hold while others wait
	 */
	public void updateRules(AdmissionSettings newSettings, Map<CallerId, Integer> callerPercent) {
		this.settings = newSettings;
		this.scheduler = new ClassScheduler(newSettings, this.times);
		this.shares.maxPercent(callerPercent);
	}

	/**
	 * Sets whether class INTERNAL is known to consist of calls that were observed. Then
	 * the number of slots reserved for it follows its need; otherwise it is fixed.
	 * @param known whether it is known
	 */
	public void setCallsKnown(boolean known) {
		this.slots.callsKnown(known);
	}

	/**
	 * Returns the number of slots that only requests of class INTERNAL may use now.
	 * @param now the current time, in nanoseconds
	 * @return at least 0
	 */
	public int reservedForCalls(long now) {
		return this.slots.reservedForInternal(now);
	}

	/**
	 * Starts or stops refusing new requests. Waiting and running requests are not
	 * affected.
	 * @param drain whether the backend server is draining
	 */
	public void setDraining(boolean drain) {
		this.draining = drain;
	}

	/**
	 * Refuses all waiting requests, for example when the backend server is lost.
	 * @param failure the failure for all of them; its kind must mean that the request did
	 * not run
	 * @return the refused requests
	 */
	public List<RefusedRequest> refuseWaiting(Failure failure) {
		List<Long> all = List.copyOf(this.waiting.keySet());
		all.forEach(this::cancelWaiting);
		return all.stream().map((id) -> new RefusedRequest(id, failure)).toList();
	}

	/**
	 * Returns the observed mean run time of a class; it estimates the load that a refused
	 * request would have added to its range.
	 * @param requestClass the class
	 * @return the mean, in nanoseconds
	 */
	public long meanRunNanos(RequestClass requestClass) {
		return (long) this.times.mean(requestClass);
	}

	/**
	 * Returns the expected run time of a request at the server's usual speed.
	 * @param requestClass the class of the request
	 * @param route its route; empty if unknown
	 * @return the mean, in nanoseconds
	 */
	public long meanRunNanos(RequestClass requestClass, String route) {
		return (long) this.times.mean(requestClass, route);
	}

	/**
	 * Returns the expected run time of a request at the server's present speed.
	 * @param requestClass the class of the request
	 * @param route its route; empty if unknown
	 * @param now the current time, in nanoseconds
	 * @return the run time
	 */
	public Duration expectedRun(RequestClass requestClass, String route, long now) {
		return Duration.ofNanos((long) (this.times.mean(requestClass, route) * this.work.slowness(now)));
	}

	/**
	 * Returns the load of the server.
	 * @param linkBacklog time that the network link needs for the answers that are
	 * waiting to be sent
	 * @param now the current time, in nanoseconds
	 * @return the load
	 */
	public ServerLoad load(Duration linkBacklog, long now) {
		double waitingNanos = 0;
		for (RequestClass requestClass : RequestClass.values()) {
			waitingNanos += waitingNanos(requestClass);
		}
		return new ServerLoad(this.slots.limit(), running(), waiting(),
				Duration.ofNanos((long) this.work.nanos(waitingNanos, now)), linkBacklog);
	}

	/**
	 * Returns the number of requests that hold a slot.
	 * @return at least 0
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * Returns the number of waiting requests.
	 * @return at least 0
	 */
	public int waiting() {
		return this.waiting.size();
	}

	/**
	 * Returns the number of requests of a class that hold a slot.
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
	 * Returns the number of waiting requests of a class.
	 * @param requestClass the class
	 * @return at least 0
	 */
	public int waiting(RequestClass requestClass) {
		return queue(requestClass).size();
	}

	private void recordOutcome(Running ended, RunOutcome outcome, long took) {
		RequestClass requestClass = ended.request().requestClass();
		String route = ended.request().route();
		switch (outcome) {
			case ANSWERED -> {
				this.slots.concurrencyLimit()
					.observe(ended.concurrency(), took / Math.max(1, this.times.mean(ended.request())));
				this.times.observe(requestClass, route, took);
			}
			case INTERRUPTED -> this.times.observeAtLeast(requestClass, route, took);
			case SHED -> this.slots.concurrencyLimit().onShed(ended.concurrency());
			case NOT_STARTED -> {
				// Not counted as shedding: a fence refused at the first order once
				// lowered the limit to one slot, and callers were rejected for a minute.
			}
		}
	}

	private AdmissionDecision enqueue(PendingRequest request, long now) {
		RequestClass requestClass = request.requestClass();
		double wait = expectedWait(request, now);
		// Under saturation, a request that can't meet its deadline would only take a slot
		// from one that can, so it is refused before it waits.
		if (late(request, wait, now)) {
			return new Refuse(overloaded("the deadline can't be met", request, now));
		}
		Optional<RefusedRequest> displaced = Optional.empty();
		if (wait > maxUsefulWait(request, now)) {
			displaced = queue(requestClass).displaceFor(request.caller()).map((other) -> drop(other, now));
			if (displaced.isEmpty()) {
				return new Refuse(overloaded("the queue is full", request, now));
			}
		}
		if (queue(requestClass).size(request.urgency()) == 0) {
			waitEstimator(request).onFirstQueued(now);
		}
		WaitingRequest entry = new WaitingRequest(request, latestStart(request, now), now);
		this.waiting.put(request.id(), entry);
		waitingCounts(requestClass).add(request.route());
		queue(requestClass).add(entry);
		return new Queued(displaced);
	}

	private boolean late(PendingRequest request, double wait, long now) {
		return now + wait + this.times.mean(request) > request.deadlineNanos();
	}

	// Under saturation every admitted request waits as long as the queue permits. A
	// request that would be answered after its target would only be admitted in place of
	// one that would be answered in time. A short queue is always allowed, whatever the
	// class needs, so that no slot is idle.
	private double maxUsefulWait(PendingRequest request, long now) {
		ClassRules rules = this.settings.of(request.requestClass());
		double maxWaitInTime = maxWaitNanos(request) - RUN_TIME_FACTOR * this.times.mean(request);
		double shortQueue = MIN_QUEUE_LENGTH * this.times.mean(request.requestClass()) / this.slots.limit();
		double share = (!request.isPunctualReturn() && isOverShare(request, now)) ? OVER_SHARE_QUEUE : 1;
		return Math.min(rules.maxExpectedWait().toNanos(), Math.max(share * maxWaitInTime, shortQueue));
	}

	// A request that has waited for its class's limit has been overtaken by others. Its
	// caller is told at once instead of shortly before the deadline.
	private long latestStart(PendingRequest request, long now) {
		return Math.min(latestUsefulStart(request), now + maxWaitNanos(request));
	}

	// The rules of a class with several ranks are those of its least strict target.
	private long maxWaitNanos(PendingRequest request) {
		long target = request.urgency().targetNanos();
		long ofClass = this.settings.of(request.requestClass()).maxWait().toNanos();
		return (target > 0) ? Math.min(target, ofClass) : ofClass;
	}

	private List<RefusedRequest> dropLate(long now) {
		List<RefusedRequest> refused = new ArrayList<>();
		for (RequestClass requestClass : RequestClass.values()) {
			queue(requestClass).removeLate(now).forEach((late) -> refused.add(drop(late, now)));
		}
		return refused;
	}

	private RefusedRequest drop(WaitingRequest entry, long now) {
		PendingRequest request = entry.request();
		this.waiting.remove(request.id());
		waitingCounts(request.requestClass()).remove(request.route());
		return new RefusedRequest(request.id(), overloaded(
				"dropped from the queue in favor of requests that can still be served in time", request, now));
	}

	private Optional<PendingRequest> take(long now) {
		Optional<RequestClass> nextClass = this.scheduler
			.next((requestClass) -> !queue(requestClass).isEmpty() && mayStart(requestClass, now));
		Optional<PendingRequest> next = nextClass
			.flatMap((requestClass) -> queue(requestClass).take(this.slots.limit(), now))
			.map(WaitingRequest::request);
		next.ifPresent((request) -> {
			this.waiting.remove(request.id());
			waitingCounts(request.requestClass()).remove(request.route());
			waitEstimator(request).onDequeued(now);
			start(request, now);
			this.scheduler.onSlotTaken(request.requestClass(), (other) -> !queue(other).isEmpty());
		});
		return next;
	}

	private boolean mayStart(RequestClass requestClass, long now) {
		return this.slots.hasFreeSlot(requestClass, now) && this.startLimit.mayStart(now);
	}

	private void start(PendingRequest request, long now) {
		double expected = this.times.mean(request);
		this.work.onStarted(request.id(), expected, this.times.highQuantile(request), now);
		this.slots.take(request.requestClass(), now);
		this.startLimit.onStarted();
		this.retryAfter.of(request).onStarted(now);
		this.shares.charge(request.caller(), expected);
		entryShares(request.requestClass()).charge(request.origin(), expected, 1, now);
		this.shares.onStarted(request.caller());
		this.running.put(request.id(), new Running(request, now, expected, this.running.size() + 1));
	}

	// A new request waits for those that wait already and for the returns whose places
	// are due until then; an on-time return goes before the new requests of its rank.
	private double expectedWait(PendingRequest request, long now) {
		RankedQueue queue = queue(request.requestClass());
		if (request.isPunctualReturn()) {
			return expectedWait(request, queue.sizeAheadOfReturn(request.urgency()), now);
		}
		int ahead = queue.sizeAhead(request.urgency());
		double wait = expectedWait(request, ahead, now);
		int due = this.retryAfter.placesDue(request, now, now + (long) wait);
		return (due == 0) ? wait : expectedWait(request, ahead + due, now);
	}

	private double expectedWait(PendingRequest request, int aheadInClass, long now) {
		RequestClass requestClass = request.requestClass();
		double moreUrgentNanos = Arrays.stream(RequestClass.values())
			.filter((other) -> other.compareTo(requestClass) < 0)
			.mapToDouble(this::waitingNanos)
			.sum();
		double ahead = moreUrgentNanos + aheadInClass * meanWaitingNanos(requestClass);
		RankedQueue queue = queue(requestClass);
		int ofSameRank = queue.size(request.urgency());
		int expected = aheadInClass - queue.sizeAhead(request.urgency());
		double observed = (ofSameRank > 0)
				? waitEstimator(request).expectedWaitNanos(Math.max(0, ofSameRank + expected) + 1, now) : 0;
		long limited = this.startLimit.expectedWait(Math.max(0, this.waiting.size() + expected) + 1, now).toNanos();
		return Math.max(limited, Math.max(ahead / this.slots.limit(), observed));
	}

	// Returns the expected run time of all waiting requests of a class.
	private double waitingNanos(RequestClass requestClass) {
		return waitingCounts(requestClass).sum((route) -> this.times.mean(requestClass, route));
	}

	private WaitingCounts waitingCounts(RequestClass requestClass) {
		return this.waitingCounts.computeIfAbsent(requestClass, (key) -> new WaitingCounts());
	}

	private double meanWaitingNanos(RequestClass requestClass) {
		int size = queue(requestClass).size();
		return (size > 0) ? waitingNanos(requestClass) / size : this.times.mean(requestClass);
	}

	private Failure overloaded(String detail, PendingRequest request, long now) {
		RequestClass requestClass = request.requestClass();
		if (!request.overdue()) {
			this.retryAfter.of(request).onRefused(now);
		}
		double interval = Math.max(this.times.mean(requestClass) / this.slots.limit(),
				Math.max(dequeueInterval(request, now), this.startLimit.interval().toNanos()));
		double wait = expectedWait(request, queue(requestClass).sizeAhead(request.urgency()), now);
		RetryAfterEstimator estimator = this.retryAfter.of(request);
		Duration pause = getsPlace(request, now)
				? estimator.reservePause(now, wait, interval, longestPause(request, now))
				: estimator.nextPause(now, wait, interval);
		return new Failure(ErrorKind.OVERLOADED, detail, pause);
	}

	// A caller that came early keeps the place that it was given before. Returns through
	// entries of an earlier build are not recognized.
	// An instance that has had clearly more than others gets no place in addition.
	private boolean getsPlace(PendingRequest request, long now) {
		return request.origin().isKnown() && request.origin().status() != ReturnStatus.EARLY && !request.overdue()
				&& !isOverShare(request, now);
	}

	private boolean isOverShare(PendingRequest request, long now) {
		return entryShares(request.requestClass()).isOver(request.origin(), now);
	}

	// The longest pause after which the caller comes back, with enough time left to run.
	private long longestPause(PendingRequest request, long now) {
		long remaining = request.deadlineNanos() - now;
		double beforeRun = remaining - RUN_TIME_FACTOR * this.times.mean(request.requestClass());
		return (long) Math.min(ReturnTime.longestDelay(Duration.ofNanos(Math.max(0, remaining))).toNanos(), beforeRun);
	}

	private EntryShares entryShares(RequestClass requestClass) {
		return queue(requestClass).entryShares();
	}

	// Where other classes or ranks have priority, the queue drains more slowly than the
	// server runs requests.
	private double dequeueInterval(PendingRequest request, long now) {
		boolean empty = queue(request.requestClass()).size(request.urgency()) == 0;
		return empty ? 0 : waitEstimator(request).expectedWaitNanos(1, now);
	}

	private RankedQueue newQueue(RequestClass requestClass) {
		return new RankedQueue(this.shares, requestClass != RequestClass.INTERNAL);
	}

	private RankedQueue queue(RequestClass requestClass) {
		return this.queues.computeIfAbsent(requestClass, this::newQueue);
	}

	private QueueWaitEstimator waitEstimator(PendingRequest request) {
		return this.waitEstimators.computeIfAbsent(request.requestClass(), (key) -> new TreeMap<>())
			.computeIfAbsent(request.urgency().rank(), (key) -> new QueueWaitEstimator());
	}

	private record Running(PendingRequest request, long startNanos, double expectedNanos, int concurrency) {

	}

}
