package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.Exoneration;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeySpan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class StoredRowsTests {

	private static final int MAX_ROW_BYTES = 65536;

	private static final int MAX_SPANS = 1000;

	private static final BackendIncarnation INCARNATION = new BackendIncarnation("i-7f3a91c2aa", 1_768_037_294_514L);

	// Returns a key map with the maximum number of spans, each with values of maximum
	// length.
	private static KeyMap largestMap() {
		List<KeyHolding> holdings = IntStream.range(0, MAX_SPANS).mapToObj((i) -> {
			int from = (int) ((KeySpan.LAST_KEY + 1L) * i / MAX_SPANS);
			int to = (int) ((KeySpan.LAST_KEY + 1L) * (i + 1) / MAX_SPANS - 1);
			return new KeyHolding(new KeySpan(from, to), new InstanceId("sidecar-sault-ste-marie-" + i % 42),
					INCARNATION, new Fence(900_000 + i), "5c0e7a21d94b36f8",
					(i % 20 == 0) ? Optional.of(new InstanceId("sidecar-sault-ste-marie-1")) : Optional.empty());
		}).toList();
		return new KeyMap(holdings, 1_000_000);
	}

	/**
	 * Guards against a key map that the store rejects because of its size; no key could
	 * be moved any more.
	 */
	@Test
	void theLargestKeyMapFitsIntoOneRow() {
		assertThat(StoredRows.keys(largestMap(), false).length).isAtMost(MAX_ROW_BYTES);
	}

	@Test
	void aMemberRoundTripsAndARowOfAnEarlierBuildIsRead() {
		Member member = new Member(new InstanceId("a"), new InetSocketAddress("127.0.0.1", 7600),
				new FailureDomain("z"), new ServiceName("s"), Optional.of(INCARNATION), 4, true, true, 200,
				OptionalDouble.of(36.9));
		byte[] row = StoredRows.member(member);
		assertThat(StoredRows.member(new InstanceId("a"), row).get()).isEqualTo(member);
		String earlier = new String(row, StandardCharsets.UTF_8).replace(",\"linkMegabits\":200,\"perSecond\":36.9",
				"");
		Member read = StoredRows.member(new InstanceId("a"), earlier.getBytes(StandardCharsets.UTF_8)).get();
		assertThat(read.linkMegabits()).isEqualTo(0);
		assertThat(read.perSecond()).isEqualTo(OptionalDouble.empty());
	}

	@Test
	void aKeyMapRoundTrips() {
		KeyMap map = largestMap();
		KeyMap read = StoredRows.keys(StoredRows.keys(map, false)).get();
		assertThat(read.holdings()).isEqualTo(map.holdings());
		assertThat(read.nextFence()).isEqualTo(map.nextFence());
		assertThat(StoredRows.keys(StoredRows.keys(map, true)).get().holdings()).isEqualTo(map.holdings());
		KeyMap first = KeyMap.initial(List.of(new KeyHolder(new InstanceId("a"), INCARNATION)));
		assertThat(StoredRows.keys(StoredRows.keys(first, false)).get().holdings()).isEqualTo(first.holdings());
	}

	/**
	 * Guards against daemons that lose the key map while a deployment is upgraded to this
	 * build.
	 */
	@Test
	void aKeyMapOfAnEarlierBuildIsRead() {
		String row = """
				{"next":9,"holders":[{"instance":"b","backend":"j","born":2},{"instance":"a","backend":"i","born":1}],
				"spans":[{"from":0,"to":99,"holder":0,"fence":3,"handover":"token","next":"a"},
				{"from":100,"to":65535,"holder":1,"fence":8}]}""";
		KeyMap read = StoredRows.keys(row.getBytes(StandardCharsets.UTF_8)).get();
		assertThat(read.holding(99).holder()).isEqualTo(new InstanceId("b"));
		assertThat(read.holding(99).nextHolder()).isEqualTo(Optional.of(new InstanceId("a")));
		assertThat(read.holding(100).fence()).isEqualTo(new Fence(8));
		assertThat(new String(StoredRows.keys(read, true), StandardCharsets.UTF_8)).isEqualTo(row.replace("\n", ""));
	}

	/**
	 * Guards against a malformed row that stops the feed with an exception.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "{}", "{\"next\":1,\"holders\":[],\"spans\":[[0,0,0]]}",
			"{\"next\":1,\"holders\":[null],\"spans\":[[0,0,0]]}", "{\"next\":null,\"holders\":[],\"spans\":[]}",
			"{\"next\":1,\"holders\":{},\"spans\":7}",
			"{\"next\":5,\"holders\":[{\"instance\":\"a\",\"backend\":\"i\",\"born\":1}],\"spans\":[[0]]}",
			"{\"next\":5,\"holders\":[{\"instance\":\"a\",\"backend\":\"i\",\"born\":1}],\"spans\":[[9,0,1]]}",
			"{\"next\":5,\"holders\":[{\"instance\":\"a\",\"backend\":\"i\",\"born\":1}],\"spans\":[\"x\"]}" })
	void aMalformedKeyMapIsRejected(String row) {
		assertThat(StoredRows.keys(row.getBytes(StandardCharsets.UTF_8)).isLeft()).isTrue();
	}

	@Test
	void theLargestCrashStateFitsIntoOneRowAndRoundTrips() {
		List<CrashReport> reports = IntStream.range(0, CrashState.MAX_REPORTS)
			.mapToObj((i) -> new CrashReport(-i, new BackendIncarnation("i-7f3a91c2aa", i),
					fingerprints(i * 1000, CrashState.MAX_REPORTED_REQUESTS / CrashState.MAX_REPORTS)))
			.toList();
		Set<Exoneration> exonerations = numbers(50_000, CrashState.MAX_EXONERATIONS).stream()
			.map((number) -> new Exoneration(number, number + 1, number + 2))
			.collect(Collectors.toUnmodifiableSet());
		CrashState notes = new CrashState(reports, exonerations, numbers(90_000, CrashState.MAX_CLEARED));
		byte[] row = StoredRows.crashes(notes);
		assertThat(row.length).isAtMost(MAX_ROW_BYTES);
		assertThat(StoredRows.crashes(row).get()).isEqualTo(notes);
	}

	/** Guards against rows of daemons of an earlier build that can't be read. */
	@Test
	void theCrashStateOfAnEarlierBuildIsRead() {
		String row = "{\"crashes\":[{\"backend\":\"i\",\"born\":7,\"requests\":[\"a\"]}],\"cleared\":[\"b\"]}";
		assertThat(StoredRows.crashes(row.getBytes(StandardCharsets.UTF_8)).get())
			.isEqualTo(new CrashState(List.of(CrashReport.ofEarlierBuild(new BackendIncarnation("i", 7), Set.of(10L))),
					Set.of(), Set.of(11L)));
	}

	private static Set<RequestFingerprint> fingerprints(long from, int count) {
		return numbers(from, count).stream()
			.map((number) -> new RequestFingerprint(number, number + 1, number + 2))
			.collect(Collectors.toUnmodifiableSet());
	}

	private static Set<Long> numbers(long from, int count) {
		return LongStream.range(0, count)
			.mapToObj((i) -> -(from + i) * 31_415_926_535L)
			.collect(Collectors.toUnmodifiableSet());
	}

	// Guards against a malformed row that ends the process or blocks requests.
	@ParameterizedTest
	@ValueSource(strings = { "", "{}", "[]", "{\"crashes\":[{}],\"cleared\":[]}",
			"{\"crashes\":[],\"cleared\":[\"no number\"]}",
			"{\"crashes\":[],\"cleared\":[],\"exonerations\":[\"1,2\"]}",
			"{\"crashes\":[{\"backend\":\"i\",\"born\":7,\"requests\":[],\"id\":\"x\"}],\"cleared\":[]}" })
	void aMalformedCrashStateIsRejected(String row) {
		assertThat(StoredRows.crashes(row.getBytes(StandardCharsets.UTF_8)).isLeft()).isTrue();
	}

}
