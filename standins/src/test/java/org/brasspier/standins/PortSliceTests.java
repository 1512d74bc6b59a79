package org.brasspier.standins;

import java.io.IOException;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PortSliceTests {

	private static final int PORTS = 2;

	private final int first = Ports.free().getPort();

	// Guards against two concurrent test runs that take each other's ports while their
	// processes restart.
	@Test
	void noTwoHoldersHaveTheSameSlice() throws IOException {
		try (PortSlice one = PortSlice.claim(this.first, PORTS, 1, 20);
				PortSlice other = PortSlice.claim(this.first, PORTS, 1, 20)) {
			assertThat(Set.of(one.lowest(), other.lowest())).hasSize(2);
		}
	}

	@Test
	void aSliceThatIsGivenBackIsClaimedAgain() throws IOException {
		try (PortSlice one = PortSlice.claim(this.first, PORTS, 1, 1)) {
			assertThat(one.lowest()).isEqualTo(this.first + 1);
		}
		try (PortSlice again = PortSlice.claim(this.first, PORTS, 1, 1)) {
			assertThat(again.lowest()).isEqualTo(this.first + 1);
		}
	}

}
