package org.brasspier.core.mesh;

import java.time.Duration;

import org.brasspier.core.mesh.RowExchange.Action;
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
		assertThat(this.exchange.compare(NEW, OLD, 0)).isEqualTo(Action.NOTHING);
		assertThat(this.exchange.compare(NEW, NEW, millis(20))).isEqualTo(Action.NOTHING);
		assertThat(this.exchange.compare(NEW, OLD, millis(500))).isEqualTo(Action.NOTHING);
	}

	/**
	 * The feed of one daemon has gone silent. It handled requests by a route that was
	 * taken back for as long as its feed waits, while all others knew better.
	 */
	@Test
	void aDaemonThatStaysBehindIsTold() {
		this.exchange.compare(NEW, OLD, 0);
		assertThat(this.exchange.compare(NEW, OLD, millis(400))).isEqualTo(new Action(true, false));
		assertThat(this.exchange.compare(NEW, OLD, millis(900))).isEqualTo(Action.NOTHING);
		assertThat(this.exchange.compare(NEW, OLD, millis(1400))).isEqualTo(new Action(true, false));
	}

	@Test
	void aDaemonThatIsBehindItselfAsks() {
		this.exchange.compare(OLD, NEW, 0);
		assertThat(this.exchange.compare(OLD, NEW, millis(400))).isEqualTo(new Action(false, true));
	}

	/**
	 * A daemon starts while the store is down. It refuses every caller until somebody
	 * tells it, so it is told at once.
	 */
	@Test
	void aDaemonThatKnowsNothingIsToldAtOnce() {
		assertThat(this.exchange.compare(NEW, new KnownRows(0, 0), 0)).isEqualTo(new Action(true, false));
	}

}
