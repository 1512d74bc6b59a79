package org.brasspier.core.mesh;

import org.brasspier.core.ErrorKind;

/**
 * Whether one request is sent once more, and what its caller is told in the end. The load
 * is that of a failing or overloaded backend server: each repeat takes a slot from a
 * request that comes for the first time, so repeats that reach a backend server are paid
 * from a budget. A daemon that turns a request away before it reaches its backend server
 * costs no slot, so that is free but bounded. Not thread-safe; one for each request.
 */
public final class RequestRetryPolicy {

	/**
	 * Daemons that may turn one request away before it is given up. When two are full the
	 * third mostly is too, and each asking costs both daemons processor time that they
	 * lack just then.
	 */
	private static final int MOST_TURNS = 2;

	/**
	 * Daemons that may turn one request away because no backend server is there. Unlike a
	 * full one that says nothing of the others, and it costs no more than a hop.
	 */
	private static final int MOST_ABSENT = 4;

	/** Statuses from here on say that the backend server failed. */
	private static final int SERVER_ERROR = 500;

	private final RouteRule route;

	private final ServiceRetryBudget budget;

	private int reached;

	private int turnedAway;

	private int absent;

	private boolean mayHaveRun;

	/**
	 * Creates the rules of a request that was not sent yet.
	 * @param route its route
	 * @param budget what repeats are paid from
	 */
	public RequestRetryPolicy(RouteRule route, ServiceRetryBudget budget) {
		this.route = route;
		this.budget = budget;
	}

	/**
	 * Takes what came of a send.
	 * @param outcome the outcome
	 * @param enoughTime whether another send could still be answered in time
	 * @return true if the request is to be sent once more
	 */
	public boolean shouldRetry(SendOutcome outcome, boolean enoughTime) {
		return switch (outcome) {
			case SendOutcome.Answered answered -> {
				this.reached++;
				this.mayHaveRun = true;
				yield answered.answer().status() >= SERVER_ERROR && repeat(enoughTime);
			}
			case SendOutcome.Unknown ignored -> {
				this.reached++;
				this.mayHaveRun = true;
				yield repeat(enoughTime);
			}
			case SendOutcome.NotRun notRun ->
				notRun.reachedBackend() ? declined(enoughTime) : turned(notRun, enoughTime);
		};
	}

	private boolean repeat(boolean enoughTime) {
		return this.route.idempotent() && enoughTime && this.reached < this.route.maxAttempts()
				&& this.budget.trySpendOnRerun();
	}

	private boolean declined(boolean enoughTime) {
		this.reached++;
		return enoughTime && this.reached < this.route.maxAttempts() && this.budget.trySpend();
	}

	private boolean turned(SendOutcome.NotRun outcome, boolean enoughTime) {
		// Not a refusal: the same server would take it if it were left to wait.
		if (outcome.failure().kind() == ErrorKind.NO_FREE_SLOT) {
			return true;
		}
		if (outcome.failure().kind() == ErrorKind.NO_BACKEND) {
			this.absent++;
			return enoughTime && this.absent < MOST_ABSENT;
		}
		this.turnedAway++;
		return enoughTime && this.turnedAway < MOST_TURNS;
	}

	/**
	 * Whether any send may have run, so that "not run" would be untrue.
	 * @return true if so
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
