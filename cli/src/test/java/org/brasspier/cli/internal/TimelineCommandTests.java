package org.brasspier.cli.internal;

import java.util.List;

import org.brasspier.wire.operator.EventsAnswer;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the merged order of events and the reports of missing events.
 */
class TimelineCommandTests {

	@Test
	void theOrderFollowsTheStampsNotTheDaemons() {
		EventsAnswer sender = new EventsAnswer("a", 2, 0, 0, List.of(entry(1, 10, "a"), entry(2, 30, "a")));
		EventsAnswer receiver = new EventsAnswer("b", 9, 0, 0, List.of(entry(8, 20, "b"), entry(9, 30, "b")));
		assertThat(TimelineCommand.merge(List.of(receiver, sender))
			.stream()
			.map((entry) -> entry.instance() + entry.number())).containsExactly("a1", "b8", "a2", "b9").inOrder();
	}

	/**
	 * Guards against a time line that looks complete although a burst of events filled a
	 * daemon's ring buffer. Each new gap is reported once.
	 */
	@Test
	void eventsLostByAFullRingAreReportedOnce() {
		TimelineCommand command = new TimelineCommand();
		EventsAnswer gap = new EventsAnswer("a", 9, 3, 0, List.of());
		assertThat(command.newlyMissingEvents(gap).map(TimelineCommand.MissingEvents::line))
			.containsExactly("# a lost 3 events: its ring was full");
		assertThat(command.newlyMissingEvents(gap)).isEmpty();
		EventsAnswer older = new EventsAnswer("b", 9, 5, 7, List.of());
		assertThat(command.newlyMissingEvents(older).map(TimelineCommand.MissingEvents::line)).containsExactly(
				"# b lost 5 events: its ring was full; keeps only its latest events; some up to number 7 are gone");
	}

	private static EventsAnswer.Entry entry(long number, long stamp, String instance) {
		return new EventsAnswer.Entry(number, stamp, stamp, 301, "REQUEST_HANDED_OVER", instance, "r-1", "");
	}

}
