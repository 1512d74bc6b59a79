package org.brasspier.bench.policy;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Formats the results as Markdown tables.
 */
final class PolicyTable {

	private static final String HEAD = """
			| load | version | goodput | refused | timed out | refusal p99 ms | lookup p50 / p99 / p99.9 ms | with resends p99 ms | elsewhere p99 ms | imbalance (bound) | churn, balance /h | churn, loss | moves | unavailable s | ran twice | back after stall ms | others: goodput, lookup p99 ms |
			| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
			""";

	private PolicyTable() {
	}

	static String of(List<Comparison> comparisons) {
		return comparisons.stream()
			.map(Comparison::deployment)
			.distinct()
			.map((deployment) -> "### " + deployment + "\n\n" + HEAD + rows(comparisons, deployment) + "\n")
			.collect(Collectors.joining("\n"));
	}

	private static String rows(List<Comparison> comparisons, String deployment) {
		return comparisons.stream()
			.filter((comparison) -> comparison.deployment().equals(deployment))
			.flatMap((comparison) -> Stream.of(row(comparison.load(), "policy", comparison.policy()),
					row(comparison.load(), "naive", comparison.naive())))
			.collect(Collectors.joining("\n"));
	}

	private static String row(String load, String version, Figures figures) {
		return String.format(Locale.ROOT,
				"| %s | %s | %.3f | %.4f | %.4f | %.1f | %.1f / %.1f / %.1f | %.1f | %.1f | %.3f (%.2f) | %.4f | %.3f | %d | %.3f | %d | %.0f | %.3f, %.1f |",
				load, version, figures.goodput(), figures.refusedShare(), figures.timedOutShare(),
				figures.refusalP99Millis(), figures.lookupP50Millis(), figures.lookupP99Millis(),
				figures.lookupP999Millis(), figures.lookupAllP99Millis(), figures.elsewhereP99Millis(),
				figures.imbalance(), figures.imbalanceBound(), figures.balanceChurnHourly(), figures.lossChurn(),
				figures.moves(), figures.unavailableSeconds(), figures.ranTwice(), figures.recoveryMillis(),
				figures.othersGoodput(), figures.othersLookupP99Millis());
	}

}
