package org.brasspier.daemon.internal.link;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CancelledMessageTests {

	private static final int MEGABITS = 1;

	private static final int LARGE_BYTES = 1_000_000;

	private final LinkFlow flow = new LinkFlow(Eventloop.builder().withCurrentThread().build(), MEGABITS);

	/**
	 * Guards against a failure in the callback of another connection, and a window that
	 * counts a piece which is never sent, after a message was cancelled that waited for
	 * the window.
	 */
	@Test
	void aConnectionWhoseOnlyMessageWasCancelledIsGrantedNoPiece() {
		Sender first = new Sender(this.flow);
		Sender second = new Sender(this.flow);
		first.offer();
		second.offer();
		assertThat(first.sentBytes + second.sentBytes).isLessThan(LARGE_BYTES);
		second.cancel();
		second.acknowledge();
		assertThat(second.grantedAfterCancel).isEqualTo(0);
		assertThat(first.sentBytes).isGreaterThan(0);
	}

	/**
	 * Offers the next piece of one message after each piece that it sends.
	 */
	private static final class Sender {

		private final LinkChannel channel;

		private final long queuedNanos = System.nanoTime();

		private int sentBytes;

		private boolean cancelled;

		private int grantedAfterCancel;

		Sender(LinkFlow flow) {
			this.channel = flow.open(this::send);
		}

		void offer() {
			this.channel.offer(LARGE_BYTES, this.queuedNanos, LARGE_BYTES);
		}

		private void send(int bytes) {
			if (this.cancelled) {
				this.grantedAfterCancel++;
				return;
			}
			this.sentBytes += bytes;
			offer();
		}

		void cancel() {
			this.cancelled = true;
			this.channel.onQueueEmpty();
		}

		void acknowledge() {
			this.channel.acknowledged(this.sentBytes);
		}

	}

}
