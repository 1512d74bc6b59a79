package org.brasspier.core;

import java.util.List;
import java.util.stream.Stream;

import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.Deputy;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeySpan;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.ReaderChoice;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Checks records with a hand-written {@code equals}: if it omitted a component, two
 * different values would be equal.
 */
class ValueTypesTests {

	private static final InstanceId ONE = new InstanceId("one");

	private static final InstanceId TWO = new InstanceId("two");

	private static final BackendIncarnation INCARNATION = new BackendIncarnation("server", 1);

	private static final FailureDomain NEAR = new FailureDomain("near");

	/**
	 * The first two values are equal; each of the others differs from them in one
	 * component.
	 */
	private static Stream<List<Object>> values() {
		return Stream.of(List.of(ONE, new InstanceId("one"), TWO),
				List.of(new ServiceName("one"), new ServiceName("one"), new ServiceName("two")),
				List.of(NEAR, new FailureDomain("near"), new FailureDomain("far")),
				List.of(INCARNATION, new BackendIncarnation("server", 1), new BackendIncarnation("other", 1),
						new BackendIncarnation("server", 2)),
				List.of(new KeyHolder(ONE, INCARNATION), new KeyHolder(ONE, INCARNATION),
						new KeyHolder(TWO, INCARNATION), new KeyHolder(ONE, new BackendIncarnation("server", 2))),
				List.of(new Deputy(ONE, 1), new Deputy(ONE, 1), new Deputy(TWO, 1), new Deputy(ONE, 2)),
				List.of(new KeySpan(1, 3), new KeySpan(1, 3), new KeySpan(2, 3), new KeySpan(1, 4)),
				List.of(new KnownRows(1, 2), new KnownRows(1, 2), new KnownRows(3, 2), new KnownRows(1, 3)),
				List.of(new ReaderChoice.Candidate(ONE, NEAR, 10), new ReaderChoice.Candidate(ONE, NEAR, 10),
						new ReaderChoice.Candidate(TWO, NEAR, 10),
						new ReaderChoice.Candidate(ONE, new FailureDomain("far"), 10),
						new ReaderChoice.Candidate(ONE, NEAR, 20)));
	}

	@ParameterizedTest
	@MethodSource("values")
	void valuesAreEqualOnlyIfAllComponentsAreEqual(List<Object> values) {
		Object first = values.get(0);
		assertThat(values.get(1)).isEqualTo(first);
		assertThat(values.get(1).hashCode()).isEqualTo(first.hashCode());
		values.stream().skip(2).forEach((other) -> assertThat(other).isNotEqualTo(first));
	}

}
