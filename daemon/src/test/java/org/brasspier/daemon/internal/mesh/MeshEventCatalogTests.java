package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MeshEventCatalogTests {

	private static final Pattern ROW = Pattern.compile("\\| ([0-9]{4}) \\| ([A-Z_]+) \\|.*");

	@Test
	void operationsPageListsAllEvents() throws IOException {
		List<String> documented = Files.readAllLines(Path.of("../docs/OPERATIONS.md"))
			.stream()
			.map(ROW::matcher)
			.filter((matcher) -> matcher.matches())
			.map((matcher) -> matcher.group(1) + " " + matcher.group(2))
			.toList();
		List<String> known = Arrays.stream(MeshEvent.values())
			.map((event) -> event.number() + " " + event.name())
			.toList();
		assertThat(documented).containsExactlyElementsIn(known).inOrder();
	}

}
