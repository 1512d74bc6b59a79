package org.brasspier.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Either;
import org.brasspier.core.Fence;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Runs the same random sends through small ledgers of changing owners and through a naive
 * record of everything that ever ran, and compares the results.
 */
class RequestLedgerDifferentialTests {

	private static final ServiceName SERVICE = new ServiceName("returns-desk");

	private static final int STEPS = 20_000;

	private final Set<String> everRan = new HashSet<>();

	private final Map<String, Optional<Ticket>> firstTicket = new HashMap<>();

	private final List<Posting> running = new ArrayList<>();

	private Random random = new Random(0);

	private long now = 1000;

	private long fence = 1;

	private RequestLedger owner = newOwner();

	private int ran;

	private int ranFirstAttempt;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void noIdRunsTwiceWhenOwnersChangeAndEntriesAreForgotten(long seed) {
		this.random = new Random(seed);
		for (int step = 0; step < STEPS; step++) {
			this.now += this.random.nextInt(20);
			switch (this.random.nextInt(100)) {
				case 0 -> loseOwner();
				case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15 -> finishOne();
				default -> sendOne(step);
			}
		}
		assertThat(this.ran).isGreaterThan(1000);
		assertThat(this.ranFirstAttempt).isGreaterThan(1000);
	}

	private RequestLedger newOwner() {
		return new RequestLedger(this.random.nextLong(), new LedgerLimits(50, 1000, 5000), this.now);
	}

	private void loseOwner() {
		this.fence += 1 + this.random.nextInt(3);
		this.running.clear();
		this.owner = newOwner();
	}

	private void finishOne() {
		if (this.running.isEmpty()) {
			return;
		}
		Posting posting = this.running.remove(this.random.nextInt(this.running.size()));
		if (this.random.nextInt(10) == 0) {
			this.owner.recordNotRun(posting);
			this.everRan.remove(posting.id().value());
		}
		else {
			this.owner.recordOutcome(posting,
					Either.right(new Answer(200, List.of(), new byte[this.random.nextInt(200)])));
		}
	}

	private void sendOne(int step) {
		boolean resend = this.random.nextBoolean() && step > 10;
		String id = "id-" + ((resend) ? Math.max(0, step - this.random.nextInt(400)) : step);
		boolean known = this.firstTicket.containsKey(id);
		Optional<Ticket> ticket = this.firstTicket.computeIfAbsent(id,
				(key) -> Optional.of(this.owner.issueTicket(SERVICE, new Fence(this.fence), this.now)));
		Posting posting = new Posting(SERVICE, new Fence(this.fence), new RequestId(id), 1);
		LedgerDecision admission = this.owner.admit(posting, ticket, !known, this.now);
		if (admission instanceof LedgerDecision.Run) {
			assertThat(this.everRan.add(id)).isTrue();
			this.running.add(posting);
			this.ran++;
			this.ranFirstAttempt += (known) ? 0 : 1;
		}
		else if (admission instanceof LedgerDecision.Completed || admission instanceof LedgerDecision.Join) {
			assertThat(this.everRan).contains(id);
		}
	}

}
