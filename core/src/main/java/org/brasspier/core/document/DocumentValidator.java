package org.brasspier.core.document;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;

/**
 * Validates a document before it takes effect. Reports all faults at once, so that an
 * operator can correct them in one pass. Stateless and thread-safe.
 */
public final class DocumentValidator {

	/**
	 * Bounds the memory for the document: some 3,500 daemons keep it, each with 32 MB for
	 * everything.
	 */
	private static final int MAX_FIELDS = 10_000;

	private static final int MAX_RESERVED_PERCENT = 100;

	private DocumentValidator() {
	}

	/**
	 * Validates a whole document.
	 * @param document the document
	 * @return all faults, in the order of their places; empty if the document may take
	 * effect
	 */
	public static List<Fault> validate(Document document) {
		List<Fault> single = document.values()
			.entrySet()
			.stream()
			.flatMap((entry) -> fieldFault(entry).stream())
			.toList();
		// Rules over several fields parse numbers, so they need every single value to be
		// valid.
		return (single.isEmpty()) ? crossFieldFaults(document) : single;
	}

	private static Optional<Fault> fieldFault(Map.Entry<FieldPath, String> entry) {
		Optional<Field> field = Form.fieldAt(entry.getKey());
		String place = entry.getKey().text();
		if (field.isEmpty()) {
			return Optional.of(new Fault(place, entry.getValue(), "no form has this field: take it out"));
		}
		return (field.get().rule().allows(entry.getValue())) ? Optional.empty()
				: Optional.of(new Fault(place, entry.getValue(), "enter " + field.get().rule().description()));
	}

	private static List<Fault> crossFieldFaults(Document document) {
		return Stream
			.of(size(document), services(document), limitsOfUnknownServices(document), reservedSlots(document),
					domains(document), weights(document), secrets(document))
			.flatMap((faults) -> faults)
			.toList();
	}

	private static Stream<Fault> size(Document document) {
		int fields = document.values().size();
		return (fields <= MAX_FIELDS) ? Stream.empty() : Stream
			.of(new Fault("document", fields + " fields", "remove fields until there are %d".formatted(MAX_FIELDS)));
	}

	private static Stream<Fault> services(Document document) {
		if (document.services().isEmpty()) {
			return Stream.of(new Fault(Form.SERVICE.key(), "", "fill in the form of at least one service"));
		}
		return document.services()
			.stream()
			.map((service) -> Form.SERVICE.path(service.value(), "divided-by-key"))
			.filter((path) -> document.value(path).isEmpty())
			.map((path) -> new Fault(path.text(), "",
					"enter yes or no: whether each key of this service has one owner"));
	}

	private static Stream<Fault> limitsOfUnknownServices(Document document) {
		Set<ServiceName> services = Set.copyOf(document.services());
		return document.values()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().parts().getFirst().equals(Form.LIMITS.key()))
			.filter((entry) -> !services.contains(new ServiceName(entry.getKey().parts().get(1))))
			.map((entry) -> new Fault(entry.getKey().text(), entry.getValue(),
					"no form describes this service: fill in its service form or remove the limit"));
	}

	private static Stream<Fault> reservedSlots(Document document) {
		ServiceCatalog catalog = document.catalog();
		return document.services().stream().flatMap((service) -> {
			int reserved = Arrays.stream(RequestClass.values())
				.mapToInt((requestClass) -> catalog.find(service).orElseThrow().limit(requestClass).sharePercent())
				.sum();
			return (reserved <= MAX_RESERVED_PERCENT) ? Stream.empty()
					: Stream.of(new Fault(Form.LIMITS.key() + "/" + service, reserved + " %",
							"reserve at most 100 % over the classes " + classes()));
		});
	}

	private static String classes() {
		return String.join(", ",
				Arrays.stream(RequestClass.values())
					.map((requestClass) -> requestClass.name().toLowerCase(Locale.ROOT))
					.toList());
	}

	private static Stream<Fault> domains(Document document) {
		return (document.regions().isEmpty())
				? Stream.of(new Fault(Form.DOMAINS.path("", "regions").text(), "", "name at least one failure domain"))
				: Stream.empty();
	}

	private static Stream<Fault> weights(Document document) {
		boolean anyWeight = Form.WEIGHTS.fields()
			.stream()
			.map((field) -> document.value(Form.WEIGHTS.path("", field.name())).orElse(field.defaultValue()))
			.anyMatch((value) -> Double.parseDouble(value) > 0);
		return (anyWeight) ? Stream.empty()
				: Stream.of(new Fault(Form.WEIGHTS.key(), "0", "set at least one of the three weights above 0"));
	}

	private static Stream<Fault> secrets(Document document) {
		String current = document.value(Form.SECRETS.path("", "operators-current")).orElse("");
		String retiring = document.value(Form.SECRETS.path("", "operators-retiring")).orElse("");
		return (!current.isEmpty() || retiring.isEmpty()) ? Stream.empty()
				: Stream.of(new Fault(Form.SECRETS.path("", "operators-current").text(), "",
						"name the secret that replaces " + retiring));
	}

}
