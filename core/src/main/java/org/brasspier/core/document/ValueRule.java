package org.brasspier.core.document;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Rule that the values of a field must satisfy. Immutable and thread-safe.
 */
public sealed interface ValueRule {

	/**
	 * Checks a value.
	 * @param value the value
	 * @return true if the field allows it
	 */
	default boolean allows(String value) {
		return switch (this) {
			case WholeNumber whole -> whole.isNumberInRange(value);
			case Decimal decimal -> decimal.isNumberInRange(value);
			case Choice choice -> choice.values().contains(value);
			case Names names -> value.isEmpty() || Arrays.stream(value.split(",", -1)).allMatch(Text::isName);
			case Shares shares -> value.isEmpty() || Entry.parseList(value)
				.filter((entries) -> entries.stream()
					.allMatch((entry) -> shares.share().isNumberInRange(entry.value())))
				.isPresent();
			case Pairs pairs -> value.isEmpty() || Entry.parseList(value)
				.filter((entries) -> entries.stream().allMatch((entry) -> Text.isName(entry.value())))
				.isPresent();
		};
	}

	/**
	 * Describes the allowed values.
	 * @return the description for forms and error messages
	 */
	default String description() {
		return switch (this) {
			case WholeNumber whole -> "a whole number from %d to %d".formatted(whole.min(), whole.max());
			case Decimal decimal -> "a number from %s to %s".formatted(decimal.min(), decimal.max());
			case Choice choice -> String.join(" or ", choice.values());
			case Names names -> "comma-separated names, or nothing";
			case Shares shares ->
				"comma-separated NAME=N, each N %s, or nothing".formatted(shares.share().description());
			case Pairs pairs -> pairs.left() + "=" + pairs.right() + ", comma-separated, or nothing";
		};
	}

	/**
	 * A whole number.
	 *
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 */
	record WholeNumber(long min, long max) implements ValueRule {

		boolean isNumberInRange(String value) {
			return value.matches("[0-9]{1,12}") && Long.parseLong(value) >= this.min
					&& Long.parseLong(value) <= this.max;
		}

	}

	/**
	 * A number that may have decimals.
	 *
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 */
	record Decimal(double min, double max) implements ValueRule {

		boolean isNumberInRange(String value) {
			return value.matches("[0-9]{1,9}(\\.[0-9]{1,6})?") && Double.parseDouble(value) >= this.min
					&& Double.parseDouble(value) <= this.max;
		}

	}

	/**
	 * One of a fixed set of words.
	 *
	 * @param values the words
	 */
	record Choice(List<String> values) implements ValueRule {

		/**
		 * Copies the list.
		 * @param values the words
		 */
		public Choice {
			values = List.copyOf(values);
		}

	}

	/**
	 * A comma-separated list of names.
	 */
	record Names() implements ValueRule {

	}

	/**
	 * A number for each of several names, as a comma-separated list of {@code NAME=N}.
	 *
	 * @param share the rule for each number
	 */
	record Shares(WholeNumber share) implements ValueRule {

	}

	/**
	 * Pairs of names, as a comma-separated list of {@code NAME=NAME}.
	 *
	 * @param left placeholder for the part before the equals sign, shown in forms
	 * @param right placeholder for the part after the equals sign, shown in forms
	 */
	record Pairs(String left, String right) implements ValueRule {

	}

	/**
	 * One {@code NAME=VALUE} entry of a list.
	 *
	 * @param name the name
	 * @param value the value
	 */
	record Entry(String name, String value) {

		/**
		 * Parses a list.
		 * @param text comma-separated entries {@code NAME=VALUE}
		 * @return the entries, or empty if the text is not a valid list or contains a
		 * name twice
		 */
		static Optional<List<Entry>> parseList(String text) {
			if (text.isEmpty()) {
				return Optional.of(List.of());
			}
			List<String[]> parts = Arrays.stream(text.split(",", -1)).map((part) -> part.split("=", -1)).toList();
			if (!parts.stream().allMatch((part) -> part.length == 2 && Text.isName(part[0]))) {
				return Optional.empty();
			}
			List<Entry> entries = parts.stream().map((part) -> new Entry(part[0], part[1])).toList();
			long names = entries.stream().map(Entry::name).collect(Collectors.toSet()).size();
			return (names == entries.size()) ? Optional.of(entries) : Optional.empty();
		}

	}

	/**
	 * The syntax of names, the same as for services and instances.
	 */
	final class Text {

		private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

		private Text() {
		}

		static boolean isName(String text) {
			return NAME.matcher(text).matches();
		}

	}

}
