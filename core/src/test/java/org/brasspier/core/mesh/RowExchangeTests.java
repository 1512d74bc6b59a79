package org.brasspier.core.mesh;

import java.time.Duration;

import org.brasspier.core.mesh.RowExchange.Step;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RowExchangeTests {

	private static final KnownRows NEW = new KnownRows(9, 20);

	private static final KnownRows OLD = new KnownRows(5, 20);

	private final RowExchange exchange = new RowExchange();

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	@Test
	void feedsThatDifferForAMomentAreLeftAlone() {
		assertThat(this.exchange.noticed(NEW, OLD, 0)).isEqualTo(Step.NOTHING);
		assertThat(this.exchange.noticed(NEW, NEW, millis(20))).isEqualTo(Step.NOTHING);
		assertThat(this.exchange.noticed(NEW, OLD, millis(500))).isEqualTo(Step.NOTHING);
	}

	/**
	 * The feed of one daemon has gone silent. It handled requests by a route that was
	 * taken back for as long as its feed waits, while all others knew better.
	 */
	@Test
	void aDaemonThatStaysBehindIsTold() {
		this.exchange.noticed(NEW, OLD, 0);
		assertThat(this.exchange.noticed(NEW, OLD, millis(400))).isEqualTo(new Step(true, false));
		assertThat(this.exchange.noticed(NEW, OLD, millis(900))).isEqualTo(Step.NOTHING);
		assertThat(this.exchange.noticed(NEW, OLD, millis(1400))).isEqualTo(new Step(true, false));
	}

	@Test
	void aDaemonThatIsBehindItselfAsks() {
		this.exchange.noticed(OLD, NEW, 0);
		assertThat(this.exchange.noticed(OLD, NEW, millis(400))).isEqualTo(new Step(false, true));
	}

	/**
	 * A daemon starts while the store is down. It refuses every caller until somebody
	 * tells it, so it is told at once.
	 */
	@Test
	void aDaemonThatKnowsNothingIsToldAtOnce() {
		assertThat(this.exchange.noticed(NEW, new KnownRows(0, 0), 0)).isEqualTo(new Step(true, false));
	}

}
