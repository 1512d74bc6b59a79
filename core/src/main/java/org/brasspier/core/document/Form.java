package org.brasspier.core.document;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

import org.brasspier.core.RequestClass;

/**
 * The forms that make up the document. Each form defines its fields; the interactive
 * forms and the flags of the command line tool are both generated from these definitions.
 */
public enum Form {

	/** Basic settings of a service. One form for each service. */
	SERVICE(true, serviceFields()),

	/** Admission limits of a service. One form for each service. */
	LIMITS(true, limitFields()),

	/** The failure domains and their regions. */
	DOMAINS(false,
			List.of(new Field("regions", "", new ValueRule.Pairs("DOMAIN", "REGION"), "",
					"each failure domain and the region it is in"))),

	/** Upper limits of the measures; whether they are met decides the renewal. */
	TARGETS(false, targetFields()),

	/** Relative weights of the three measures for the placement of ranges. */
	WEIGHTS(false,
			Stream
				.of(new Field("imbalance", "", weight(), "1", "weight of unevenly distributed load"),
						new Field("churn", "", weight(), "1", "weight of moving warm state between servers"),
						new Field("unavailable", "", weight(), "1",
								"weight of the time in which a range is not served"))
				.toList()),

	/**
	 * Names of the operators' secrets that are accepted. The form never holds the secrets
	 * themselves.
	 */
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
						"whether each key has one owner; if not, the service is sharded by request id"),
				// 10 minutes is the longest deadline that docs/API.md allows a caller to
				// request.
				new Field("run-limit-millis", "ms", new ValueRule.WholeNumber(1, 600_000), "10000",
						"maximum run time of a request"),
				// Below 10 ms, a garbage collection pause alone can exceed the guard
				// time. Above 5 s, keys of a lost instance stay unserved for longer than
				// any caller waits.
				new Field("guard-millis", "ms", new ValueRule.WholeNumber(10, 5000), "200",
						"how long the ranges of a lost server that checks no fences stay unassigned"));
	}

	private static List<Field> limitFields() {
		Stream<Field> classes = Stream.of(RequestClass.values()).flatMap((requestClass) -> {
			String name = requestClass.name().toLowerCase(Locale.ROOT);
			return Stream.of(
					new Field(name + "-deadline-millis", "ms", new ValueRule.WholeNumber(1, 600_000),
							deadline(requestClass),
							"deadline of " + name + " requests that specify none, and the longest they may specify"),
					new Field(name + "-share-percent", "%", new ValueRule.WholeNumber(0, 100), share(requestClass),
							"guaranteed share of slot time for " + name + " requests, if above the built-in share"));
		});
		Stream<Field> rest = Stream.of(
				new Field("caller-shares", "%", new ValueRule.Shares(new ValueRule.WholeNumber(1, 100)), "",
						"maximum share of the service that one caller may use while others wait"),
				new Field("max-body-bytes", "bytes", new ValueRule.WholeNumber(1, 64 << 20), "1048576",
						"maximum size of a request body"));
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
		// A fifth is reserved for internal calls, so that the requests that wait for
		// these calls cannot occupy all slots.
		return (requestClass == RequestClass.INTERNAL) ? "20" : "0";
	}

	private static List<Field> targetFields() {
		return List.of(
				new Field("imbalance-ratio", "", new ValueRule.Decimal(1, 100), "1.3",
						"load of the busiest server divided by the mean load"),
				new Field("churn-percent-a-day", "%", new ValueRule.Decimal(0, 100_000), "20",
						"share of the hash space that changes its owner in a day"),
				new Field("unavailable-seconds-a-day", "s", new ValueRule.Decimal(0, 86_400), "5",
						"time in a day in which requests were refused because no owner was available"));
	}

	/**
	 * Returns the fields of the form.
	 * @return the fields in display order
	 */
	public List<Field> fields() {
		return this.fields;
	}

	/**
	 * Returns whether there is one form for each subject, such as a service.
	 * @return true if the paths of this form contain the name of the subject
	 */
	public boolean hasSubject() {
		return this.hasSubject;
	}

	/**
	 * Returns the name of the form in paths and commands.
	 * @return the name in lower case
	 */
	public String key() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a field by its name.
	 * @param name the name of the field
	 * @return the field, or empty if the form has none of this name
	 */
	public Optional<Field> field(String name) {
		return this.fields.stream().filter((field) -> field.name().equals(name)).findFirst();
	}

	/**
	 * Returns the path of a field of this form.
	 * @param subject the service's name, or empty for a form without subject
	 * @param field the field's name
	 * @return the path
	 * @throws IllegalArgumentException if the subject is not a valid name
	 */
	public FieldPath path(String subject, String field) {
		return new FieldPath((this.hasSubject) ? key() + "/" + subject + "/" + field : key() + "/" + field);
	}

	/**
	 * Finds the field at a path.
	 * @param path the path
	 * @return the field, or empty if no form has such a field
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
