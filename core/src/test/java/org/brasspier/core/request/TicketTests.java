package org.brasspier.core.request;

import java.util.Optional;

import org.brasspier.core.Fence;
import org.brasspier.core.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TicketTests {

	private static final Ticket TICKET = new Ticket(new ServiceName("returns-desk"), new Fence(71), -5, 123456);

	@Test
	void aParsedTicketEqualsTheEncodedOne() {
		assertThat(Ticket.parse(TICKET.text())).isEqualTo(Optional.of(TICKET));
	}

	@Test
	void aCorruptedTicketIsRejected() {
		String text = TICKET.text();
		for (int i = 0; i < text.length(); i++) {
			String corrupted = text.substring(0, i) + ((text.charAt(i) == '0') ? '1' : '0') + text.substring(i + 1);
			assertThat(Ticket.parse(corrupted)).isEmpty();
		}
	}

	@Test
	void malformedTextIsRejected() {
		assertThat(Ticket.parse("")).isEmpty();
		assertThat(Ticket.parse("1~a~0~0~0~00000000")).isEmpty();
		assertThat(Ticket.parse("~".repeat(500))).isEmpty();
	}

}
