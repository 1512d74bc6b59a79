package org.brasspier.daemon.internal.event;

import java.util.concurrent.CountDownLatch;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.event.HybridTime;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the event log of one process.
 */
class EventLogTests {

	@Test
	void requestEventsDoNotEvictOwnershipEvents() {
		EventLog log = new EventLog(4);
		log.record(EventKind.LEASE_LAPSED, new InstanceId("duluth-1"), "");
		for (int i = 0; i < 100; i++) {
			log.record(EventKind.REQUEST_ANSWERED, "r" + i, "");
		}
		assertThat(log.after(0)).hasSize(5);
		assertThat(log.after(0).getFirst().kind()).isEqualTo(EventKind.LEASE_LAPSED);
		assertThat(log.evictedUntil()).hasValue(97);
	}

	/**
	 * Guards against a silent loss of events: during a flood of requests the thread that
	 * stores events can't keep up, so its ring buffer overflows. The operator must see
	 * that events are missing, and how many.
	 */
	@Test
	void eventsLostToAFullRingAreCountedAndReportedAsAnEvent() throws InterruptedException {
		EventLog log = new EventLog(4);
		log.start();
		CountDownLatch released = new CountDownLatch(1);
		// Holding the lock of the log prevents its thread from storing events.
		synchronized (log) {
			for (int i = 0; i < 20_000; i++) {
				log.record(EventKind.REQUEST_ANSWERED, "r" + i, "");
			}
			released.countDown();
		}
		released.await();
		log.stop();
		log.record(EventKind.DAEMON_STOPPED, "end", "");
		assertThat(log.totalLostEvents()).isGreaterThan(0L);
		assertThat(log.after(0).stream().map(Event::kind)).contains(EventKind.EVENTS_LOST);
	}

	@Test
	void eventsAfterAReceivedMessageAreStampedLaterThanTheMessage() {
		EventLog log = new EventLog(4);
		HybridTime received = new HybridTime((System.currentTimeMillis() + 60_000) << 16);
		log.receive(received);
		log.record(EventKind.RANGE_GRANTED, "00000000-ffffffff", "");
		assertThat(log.after(0).getFirst().stamp()).isGreaterThan(received);
	}

	@Test
	void aRingTakesNoMoreThanItsCapacity() {
		Ring<String> ring = new Ring<>(2, new Duty("unused"), (entry) -> {
		});
		assertThat(ring.offer("a") && ring.offer("b")).isTrue();
		assertThat(ring.offer("c")).isFalse();
	}

}
