package org.brasspier.core.document;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

import org.brasspier.core.RequestClass;

/**
 * The forms that contribute to the document. Each knows its fields; the command line's
 * interactive forms and flags are both made from them.
 */
public enum Form {

	/** What a service is. One form for each service. */
	SERVICE(true, serviceFields()),

	/** How much a service admits. One form for each service. */
	LIMITS(true, limitFields()),

	/** The failure domains and their regions. */
	DOMAINS(false,
			List.of(new Field("regions", "", new ValueRule.Pairs("DOMAIN", "REGION"), "",
					"each failure domain and the region it is in"))),

	/** What the measures must not exceed; they decide the renewal. */
	TARGETS(false, targetFields()),

	/** How the three measures weigh against each other when ranges are placed. */
	WEIGHTS(false,
			Stream
				.of(new Field("imbalance", "", weight(), "1", "the price of load that is spread unevenly"),
						new Field("churn", "", weight(), "1", "the price of moving warm state"),
						new Field("unavailable", "", weight(), "1", "the price of time in which a range isn't served"))
				.toList()),

	/** Which of the operators' secrets are accepted, by name; never the secrets. */
	SECRETS(false,
			List.of(new Field("operators-current", "", new ValueRule.Names(), "",
					"names of the operators' secrets in use"),
					new Field("operators-retiring", "", new ValueRule.Names(), "",
							"names of those still accepted until each operator has changed")));

	private final boolean hasSubject;

	private final List<Field> fields;

	Form(boolean hasSubject, List<Field> fields) {
		this.hasSubject = hasSubject;
		this.fields = List.copyOf(fields);
	}

	private static ValueRule weight() {
		return new ValueRule.Decimal(0, 1000);
	}

	private static List<Field> serviceFields() {
		return List.of(
				new Field("divided-by-key", "", new ValueRule.Choice(List.of("yes", "no")), "",
						"whether each key has one owner; if not, request ids are divided instead"),
				// 10 minutes is the longest deadline that docs/API.md lets a caller ask
				// for.
				new Field("run-limit-millis", "ms", new ValueRule.WholeNumber(1, 600_000), "10000",
						"how long a request may run at most"),
				// Below 10 ms a garbage collection alone breaks the guard; beyond 5 s a
				// loss would leave keys unserved for longer than any caller waits.
				new Field("guard-millis", "ms", new ValueRule.WholeNumber(10, 5000), "200",
						"how long a lost server's ranges rest where it checks no fences"));
	}

	private static List<Field> limitFields() {
		Stream<Field> classes = Stream.of(RequestClass.values()).flatMap((requestClass) -> {
			String name = requestClass.name().toLowerCase(Locale.ROOT);
			return Stream.of(
					new Field(name + "-deadline-millis", "ms", new ValueRule.WholeNumber(1, 600_000),
							deadline(requestClass),
							"deadline of " + name + " requests that name none, and the longest they may name"),
					new Field(name + "-share-percent", "%", new ValueRule.WholeNumber(0, 100), share(requestClass),
							"slot time that " + name + " requests are sure of, if more than what is built in"));
		});
		Stream<Field> rest = Stream.of(
				new Field("caller-shares", "%", new ValueRule.Shares(new ValueRule.WholeNumber(1, 100)), "",
						"the most of the service that one caller may hold while others wait"),
				new Field("max-body-bytes", "bytes", new ValueRule.WholeNumber(1, 64 << 20), "1048576",
						"largest body of a request"));
		return Stream.concat(classes, rest).toList();
	}

	private static String deadline(RequestClass requestClass) {
		return switch (requestClass) {
			case INTERNAL -> "2000";
			case LOOKUP -> "1000";
			case POSTING -> "5000";
			case AUDIT -> "60000";
		};
	}

	private static String share(RequestClass requestClass) {
		// Internal calls keep a fifth: the outer calls that wait for them can't fill it.
		return (requestClass == RequestClass.INTERNAL) ? "20" : "0";
	}

	private static List<Field> targetFields() {
		return List.of(
				new Field("imbalance-ratio", "", new ValueRule.Decimal(1, 100), "1.3",
						"busiest server's load over the mean"),
				new Field("churn-percent-a-day", "%", new ValueRule.Decimal(0, 100_000), "20",
						"share of the key space that changes its owner in a day"),
				new Field("unavailable-seconds-a-day", "s", new ValueRule.Decimal(0, 86_400), "5",
						"time in a day in which callers were turned away for want of an owner"));
	}

	/**
	 * The form's fields.
	 * @return the fields in the order in which they're shown
	 */
	public List<Field> fields() {
		return this.fields;
	}

	/**
	 * Whether there is one form for each of something, as for each service.
	 * @return true if places have the subject's name in the middle
	 */
	public boolean hasSubject() {
		return this.hasSubject;
	}

	/**
	 * The form's name in places and commands.
	 * @return lower case
	 */
	public String key() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a field.
	 * @param name its name
	 * @return empty if the form has none of that name
	 */
	public Optional<Field> field(String name) {
		return this.fields.stream().filter((field) -> field.name().equals(name)).findFirst();
	}

	/**
	 * The place of a field of this form.
	 * @param subject the service's name, or empty for a form without subject
	 * @param field the field's name
	 * @return the place
	 * @throws IllegalArgumentException if the subject is no name
	 */
	public FieldPath path(String subject, String field) {
		return new FieldPath((this.hasSubject) ? key() + "/" + subject + "/" + field : key() + "/" + field);
	}

	/**
	 * Finds the field that a place belongs to.
	 * @param path the place
	 * @return empty if no form has such a field
	 */
	public static Optional<Field> fieldAt(FieldPath path) {
		List<String> parts = path.parts();
		return Stream.of(values())
			.filter((form) -> form.key().equals(parts.getFirst()))
			.filter((form) -> parts.size() == ((form.hasSubject) ? 3 : 2))
			.findFirst()
			.flatMap((form) -> form.field(parts.getLast()));
	}

}
