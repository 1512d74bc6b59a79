package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.brasspier.standins.ServerRecord.Kind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class HistoryMetricsTests {

	private static final String ALL = "00000000-ffffffff";

	private static final String LOWER_HALF = "00000000-7fffffff";

	@Test
	void recoveryLastsFromTheLossToTheFirstAnswerOfARequestSentAfterwards() {
		List<ServerRecord> servers = List.of(line(Kind.GRANTED, 0, "a", "", ALL));
		CallerRecord before = caller(answered(90_000, 150_000));
		CallerRecord after = caller(answered(200_000, 400_000));
		Map<OwnedRange, OptionalLong> recovery = HistoryMetrics.recovery(servers, List.of(before, after),
				new InstanceLoss("a", 100_000));
		assertThat(recovery.values()).containsExactly(OptionalLong.of(300));
	}

	@Test
	void aRangeThatIsNeverAnsweredAgainHasNoRecovery() {
		List<ServerRecord> servers = List.of(line(Kind.GRANTED, 0, "a", "", ALL));
		assertThat(HistoryMetrics.recovery(servers, List.of(), new InstanceLoss("a", 100)).values())
			.containsExactly(OptionalLong.empty());
	}

	@Test
	void oneOfTwoServersDoingAllTheWorkIsAnImbalanceOfTwo() {
		List<ServerRecord> servers = List.of(line(Kind.STARTED, 0, "a", "", ""), line(Kind.STARTED, 0, "b", "", ""),
				line(Kind.BEGAN, 10, "a", "id-1", ALL), line(Kind.TOOK_EFFECT, 110, "a", "id-1", ALL));
		assertThat(HistoryMetrics.imbalance(servers, List.of(), 1)).isEqualTo(2.0);
	}

	/**
	 * Guards against a false imbalance of even servers, as the process check reported for
	 * Kliring: a read of one second was counted entirely in the second in which it began,
	 * so that chance alone gave an imbalance of 1.3 with six slots. For a period, only
	 * the part of a run within it counts.
	 */
	@Test
	void overAWholeTimeARunCountsOnlyWhileItLastsInIt() {
		List<ServerRecord> servers = List.of(line(Kind.STARTED, 0, "a", "", ""), line(Kind.STARTED, 0, "b", "", ""),
				line(Kind.BEGAN, 10, "a", "id-1", ALL), line(Kind.BEGAN, 100, "b", "id-2", ALL),
				line(Kind.TOOK_EFFECT, 200, "a", "id-1", ALL), line(Kind.TOOK_EFFECT, 900, "b", "id-2", ALL));
		assertThat(HistoryMetrics.imbalance(servers, 100, 200)).isEqualTo(1.0);
		assertThat(HistoryMetrics.imbalance(servers, 0, 10)).isEqualTo(1.0);
		assertThat(HistoryMetrics.imbalance(servers, 200, 900)).isEqualTo(2.0);
	}

	@Test
	void aServerThatWasLostCountsNoLonger() {
		List<ServerRecord> servers = List.of(line(Kind.STARTED, 0, "a", "", ""), line(Kind.STARTED, 0, "b", "", ""),
				line(Kind.BEGAN, 10, "a", "id-1", ALL), line(Kind.TOOK_EFFECT, 110, "a", "id-1", ALL));
		assertThat(HistoryMetrics.imbalance(servers, List.of(new InstanceLoss("b", 5)), 1)).isEqualTo(1.0);
	}

	@Test
	void aRangeThatGetsAnotherOwnerIsChurn() {
		List<ServerRecord> servers = List.of(line(Kind.GRANTED, 0, "a", "", LOWER_HALF),
				line(Kind.GRANTED, 10, "b", "", LOWER_HALF));
		assertThat(HistoryMetrics.churnPercent(servers, 1, 5)).isEqualTo(50.0);
		assertThat(HistoryMetrics.churnPercent(servers, 1, 20)).isEqualTo(0.0);
	}

	@Test
	void aKeyIsUnavailableFromTheFirstFailureToTheNextAnswer() {
		Attempt failed = new Attempt("id", new InetSocketAddress("127.0.0.1", 1), 1000, 2000, 503, Attempt.NOT_RUN,
				"NO_OWNER", false, "", 0);
		assertThat(HistoryMetrics.unavailableMillis(List.of(caller(failed, answered(8000, 9000))))).isEqualTo(8.0);
	}

	@Test
	void theMedianOfFourIsTheSecond() {
		assertThat(HistoryMetrics.median(new long[] { 4, 1, 3, 2 })).isEqualTo(2);
	}

	private static ServerRecord line(Kind kind, long at, String server, String id, String range) {
		return new ServerRecord(kind, at, server, "1", "hullbook", id, "key", "lookup", 1, range, "");
	}

	private static CallerRecord caller(Attempt... attempts) {
		return new CallerRecord(StandInRequest.lookup("hullbook", "key", "id"), List.of(attempts));
	}

	private static Attempt answered(long sent, long end) {
		return new Attempt("id", new InetSocketAddress("127.0.0.1", 1), sent, end, 200, Attempt.RAN, "", true, "", 0);
	}

}
