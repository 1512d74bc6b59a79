package org.brasspier.daemon.internal.exchange;

import java.util.function.Consumer;

/**
 * Numbers the connections to one backend server, and counts what is sent on them and what
 * is found there. Not thread-safe; confined to the request thread.
 */
public final class ExchangeRecorder {

	private Consumer<ExchangeFinding> listener = (finding) -> {
	};

	private long connections;

	private long exchanges;

	/**
	 * Sets what receives each finding.
	 * @param receiver the receiver
	 */
	public void setListener(Consumer<ExchangeFinding> receiver) {
		this.listener = receiver;
	}

	/**
	 * Records that a connection was opened.
	 * @return its number
	 */
	public long connectionOpened() {
		this.connections++;
		return this.connections;
	}

	/**
	 * Records that a request was sent.
	 */
	public void exchangeBegun() {
		this.exchanges++;
	}

	/**
	 * Records an irregularity.
	 * @param finding what was found
	 */
	public void record(ExchangeFinding finding) {
		this.listener.accept(finding);
	}

	/**
	 * Returns how many connections were opened since the process started.
	 * @return the number
	 */
	public long connectionsOpened() {
		return this.connections;
	}

	/**
	 * Returns how many requests were sent on them.
	 * @return the number
	 */
	public long exchangesBegun() {
		return this.exchanges;
	}

}
