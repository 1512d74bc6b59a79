package org.brasspier.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import org.jspecify.annotations.Nullable;

/**
 * One direction of one connection through the proxy. While the direction is held, bytes
 * are buffered and delivered afterwards, as TCP does after a partition. Once it is
 * silenced, all bytes are dropped. Belongs to the proxy's thread.
 */
final class FaultPipe {

	private final NioReactor reactor;

	private final ITcpSocket from;

	private final ITcpSocket to;

	private final Runnable onEnd;

	private final Deque<Chunk> chunks = new ArrayDeque<>();

	private double delayMillis;

	private boolean held;

	private boolean silent;

	private boolean writing;

	FaultPipe(NioReactor reactor, ITcpSocket from, ITcpSocket to, Runnable onEnd) {
		this.reactor = reactor;
		this.from = from;
		this.to = to;
		this.onEnd = onEnd;
	}

	void readNext() {
		this.from.read().whenComplete((buf, ex) -> {
			if (ex != null) {
				this.onEnd.run();
				return;
			}
			onRead(buf);
		});
	}

	private void onRead(@Nullable ByteBuf buf) {
		if (this.silent) {
			if (buf != null) {
				buf.recycle();
				readNext();
			}
			return;
		}
		this.chunks.add(new Chunk(buf, System.nanoTime() + delayNanos()));
		writeNext();
		if (buf != null) {
			readNext();
		}
	}

	private long delayNanos() {
		long wholeMillis = (long) this.delayMillis;
		double fractionMillis = this.delayMillis - wholeMillis;
		// Timers have a resolution of 1 ms: a delay of 1.5 ms is 1 ms or 2 ms, with
		// equal probability.
		return TimeUnit.MILLISECONDS.toNanos(wholeMillis
				+ ((fractionMillis > 0 && ThreadLocalRandom.current().nextDouble() < fractionMillis) ? 1 : 0));
	}

	private void writeNext() {
		Chunk next = this.chunks.peek();
		if (next == null || this.writing || this.held) {
			return;
		}
		long waitNanos = next.dueNanos() - System.nanoTime();
		this.writing = true;
		if (waitNanos > 0) {
			this.reactor.delay(Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanos)), this::deliver);
		}
		else {
			deliver();
		}
	}

	private void deliver() {
		this.writing = false;
		Chunk chunk = this.chunks.peek();
		if (chunk == null || this.held) {
			return;
		}
		this.chunks.poll();
		this.writing = true;
		this.to.write(chunk.bytes()).whenComplete((done, ex) -> {
			this.writing = false;
			if (ex != null || chunk.bytes() == null) {
				this.onEnd.run();
				return;
			}
			writeNext();
		});
	}

	void delay(double millis) {
		this.delayMillis = millis;
	}

	void hold(boolean hold) {
		this.held = hold;
		writeNext();
	}

	void silence() {
		this.silent = true;
		this.chunks.forEach(Chunk::recycle);
		this.chunks.clear();
	}

	/**
	 * Bytes that wait to be delivered.
	 *
	 * @param bytes the bytes, null for the end of the stream
	 * @param dueNanos when they are due at the other end, in {@link System#nanoTime()}
	 */
	private record Chunk(@Nullable ByteBuf bytes, long dueNanos) {

		void recycle() {
			if (this.bytes != null) {
				this.bytes.recycle();
			}
		}

	}

}
