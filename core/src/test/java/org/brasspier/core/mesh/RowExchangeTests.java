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
	void aBriefDifferenceBetweenFeedsCausesNoExchange() {
		assertThat(this.exchange.compare(NEW, OLD, 0)).isEqualTo(Action.NOTHING);
		assertThat(this.exchange.compare(NEW, NEW, millis(20))).isEqualTo(Action.NOTHING);
		assertThat(this.exchange.compare(NEW, OLD, millis(500))).isEqualTo(Action.NOTHING);
	}

	/**
	 * The feed of one daemon has gone silent. It routed requests by a route that had been
	 * removed until its call timed out, while all other daemons had the newer
	 * configuration.
	 */
	@Test
	void aDaemonThatStaysBehindIsSentTheRows() {
		this.exchange.compare(NEW, OLD, 0);
		assertThat(this.exchange.compare(NEW, OLD, millis(400))).isEqualTo(new Action(true, false));
		assertThat(this.exchange.compare(NEW, OLD, millis(900))).isEqualTo(Action.NOTHING);
		assertThat(this.exchange.compare(NEW, OLD, millis(1400))).isEqualTo(new Action(true, false));
	}

	@Test
	void aDaemonThatIsBehindRequestsTheRows() {
		this.exchange.compare(OLD, NEW, 0);
		assertThat(this.exchange.compare(OLD, NEW, millis(400))).isEqualTo(new Action(false, true));
	}

	/**
	 * A daemon starts while the store is down. It refuses every caller until another
	 * daemon sends it the configuration, so it is sent immediately.
	 */
	@Test
	void aDaemonWithoutRowsIsSentThemImmediately() {
		assertThat(this.exchange.compare(NEW, new KnownRows(0, 0), 0)).isEqualTo(new Action(true, false));
	}

	/**
	 * Guards against a comparison that comes a little early, finds the difference
	 * tolerable and is the last one.
	 */
	@Test
	void anEarlyComparisonIsToldWhenTheNextOneIsDue() {
		assertThat(this.exchange.toleranceLeft(0)).isEqualTo(Duration.ZERO);
		this.exchange.compare(NEW, OLD, 0);
		assertThat(this.exchange.toleranceLeft(millis(399))).isEqualTo(Duration.ofMillis(1));
		assertThat(this.exchange.toleranceLeft(millis(400))).isEqualTo(Duration.ZERO);
		this.exchange.compare(NEW, NEW, millis(450));
		assertThat(this.exchange.toleranceLeft(millis(460))).isEqualTo(Duration.ZERO);
	}

}
