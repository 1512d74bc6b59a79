package org.brasspier.core.pages;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.event.EventKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks that the tables and anchors in the documentation match the code.
 */
class PagesTests {

	private static final Path ROOT = Path.of("..");

	private static final Pattern EVENT = Pattern.compile("^\\| (\\d+) \\| `([A-Z_]+)` \\| .+ \\| .+ \\|$",
			Pattern.MULTILINE);

	private static final Pattern ERROR = Pattern.compile("^\\| `([A-Z_]+)` \\| (\\d+) \\| ([a-z_]+) \\| (\\d+) \\|$",
			Pattern.MULTILINE);

	private static final Pattern ANCHOR = Pattern.compile("TROUBLESHOOTING\\.md#([a-z0-9-]+)");

	@Test
	void theCatalogueOfEventsMatchesTheCode() {
		List<String> listed = matches(EVENT, page("EVENTS.md")).map((row) -> row.group(1) + " " + row.group(2))
			.toList();
		List<String> known = Stream.of(EventKind.values()).map((kind) -> kind.number() + " " + kind.name()).toList();
		assertWithMessage("rows | NUMBER | `KIND` | what happened | what to do | of docs/EVENTS.md").that(listed)
			.containsExactlyElementsIn(known);
	}

	@Test
	void eventNumbersAreUnique() {
		assertThat(Stream.of(EventKind.values()).map(EventKind::number).toList()).containsNoDuplicates();
	}

	@Test
	void theTableOfErrorsMatchesTheCode() {
		List<String> listed = matches(ERROR, page("API.md"))
			.map((row) -> String.join(" ", row.group(1), row.group(2), row.group(3), row.group(4)))
			.toList();
		List<String> known = Stream.of(ErrorKind.values())
			.map((kind) -> "%s %d %s %d".formatted(kind, kind.status(), kind.ran().name().toLowerCase(Locale.ROOT),
					kind.exitCode()))
			.toList();
		assertThat(listed).containsExactlyElementsIn(known);
	}

	@Test
	void everyAnchorInAMessageExistsInTroubleshooting() {
		Set<String> headings = page("TROUBLESHOOTING.md").lines()
			.filter((line) -> line.startsWith("## "))
			.map((line) -> line.substring(3).strip())
			.collect(Collectors.toSet());
		Set<String> named = sources().flatMap((source) -> matches(ANCHOR, read(source)))
			.map((match) -> match.group(1))
			.collect(Collectors.toSet());
		assertThat(named).isNotEmpty();
		assertWithMessage("headings of docs/TROUBLESHOOTING.md").that(headings).containsAtLeastElementsIn(named);
	}

	private static Stream<Path> sources() {
		return Stream.of("core", "wire", "daemon", "cli")
			.map((module) -> ROOT.resolve(module).resolve("src/main/java"))
			.flatMap(PagesTests::javaFiles);
	}

	private static Stream<Path> javaFiles(Path folder) {
		try (Stream<Path> files = Files.walk(folder)) {
			return files.filter((file) -> file.toString().endsWith(".java")).toList().stream();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Stream<Matcher> matches(Pattern pattern, String text) {
		return pattern.matcher(text).results().map((result) -> pattern.matcher(result.group())).filter(Matcher::find);
	}

	private static String page(String name) {
		return read(ROOT.resolve("docs").resolve(name));
	}

	private static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
