package org.brasspier.cli.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Text table whose columns are as wide as their widest cell. Not thread-safe.
 */
final class Table {

	private final List<List<String>> rows = new ArrayList<>();

	Table(String... header) {
		this.rows.add(List.of(header));
	}

	Table addRow(Object... cells) {
		this.rows.add(List.of(cells).stream().map(Object::toString).toList());
		return this;
	}

	List<String> lines() {
		List<Integer> widths = IntStream.range(0, this.rows.getFirst().size())
			.mapToObj((i) -> this.rows.stream().mapToInt((row) -> row.get(i).length()).max().orElse(0))
			.toList();
		return this.rows.stream()
			.map((row) -> IntStream.range(0, row.size())
				.mapToObj((i) -> row.get(i) + " ".repeat(widths.get(i) - row.get(i).length()))
				.collect(Collectors.joining("  "))
				.stripTrailing())
			.toList();
	}

}
