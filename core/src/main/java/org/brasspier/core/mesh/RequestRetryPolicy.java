package org.brasspier.core.mesh;

import org.brasspier.core.ErrorKind;

/**
 * Decides whether a request is sent again, and whether it may have run. It is made for a
 * failing or overloaded backend server: each retry takes a slot from a new request, so
 * retries that reach a backend server are charged to a budget. A daemon that rejects a
 * request before it reaches its backend server uses no slot, so trying another daemon is
 * free but bounded. Not thread-safe; one for each request.
 */
public final class RequestRetryPolicy {

	/**
	 * How many daemons may reject a request before it is given up. If two are full, the
	 * third usually is as well, and each attempt costs both daemons processor time that
	 * they are short of at that moment.
	 */
	private static final int MAX_REJECTIONS = 2;

	/**
	 * How many daemons may reject a request because they have no backend server. Unlike a
	 * full daemon, that says nothing about the others, and it costs only one hop.
	 */
	private static final int MAX_WITHOUT_BACKEND = 4;

	/** The lowest HTTP status that means that the backend server failed. */
	private static final int SERVER_ERROR = 500;

	private final RouteRule route;

	private final ServiceRetryBudget budget;

	private int reachedCount;

	private int rejections;

	private int withoutBackend;

	private boolean mayHaveRun;

	/**
	 * Creates the policy of a request that was not sent yet.
	 * @param route its route
	 * @param budget the budget that retries are charged to
	 */
	public RequestRetryPolicy(RouteRule route, ServiceRetryBudget budget) {
		this.route = route;
		this.budget = budget;
	}

	/**
	 * Records the outcome of a send and decides whether the request is sent again.
	 * @param outcome the outcome
	 * @param enoughTime whether another send could still be answered in time
	 * @return true if the request is to be sent again
	 */
	public boolean shouldRetry(SendOutcome outcome, boolean enoughTime) {
		return switch (outcome) {
			case SendOutcome.Answered answered -> {
				this.reachedCount++;
				this.mayHaveRun = true;
				yield answered.answer().status() >= SERVER_ERROR && retryAfterRun(enoughTime);
			}
			case SendOutcome.Unknown ignored -> {
				this.reachedCount++;
				this.mayHaveRun = true;
				yield retryAfterRun(enoughTime);
			}
			case SendOutcome.NotRun notRun ->
				notRun.reachedBackend() ? retryAfterDecline(enoughTime) : retryAfterRejection(notRun, enoughTime);
		};
	}

	private boolean retryAfterRun(boolean enoughTime) {
		return this.route.idempotent() && enoughTime && this.reachedCount < this.route.maxAttempts()
				&& this.budget.trySpendOnRerun();
	}

	private boolean retryAfterDecline(boolean enoughTime) {
		this.reachedCount++;
		return enoughTime && this.reachedCount < this.route.maxAttempts() && this.budget.trySpend();
	}

	private boolean retryAfterRejection(SendOutcome.NotRun outcome, boolean enoughTime) {
		// Not a rejection: the same server would accept the request if it were allowed to
		// queue.
		if (outcome.failure().kind() == ErrorKind.NO_FREE_SLOT) {
			return true;
		}
		if (outcome.failure().kind() == ErrorKind.NO_BACKEND) {
			this.withoutBackend++;
			return enoughTime && this.withoutBackend < MAX_WITHOUT_BACKEND;
		}
		this.rejections++;
		return enoughTime && this.rejections < MAX_REJECTIONS;
	}

	/**
	 * Returns whether any send may have run, so that "not run" would be wrong.
	 * @return true if one may have run
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
