package org.brasspier.core.document;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.brasspier.core.CallerId;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.placement.PlacementWeights;

/**
 * The configuration document: a value at each place that a form has filled in. Whether it
 * may take effect is for {@link DocumentValidator} to say; what reads values here takes
 * the field's usual value where the document has none. Immutable and thread-safe.
 */
public final class Document {

	/** The newest format that this build reads, and the one it writes. */
	public static final int FORMAT = 1;

	/** The document in which no form was filled in yet. */
	public static final Document EMPTY = new Document(new TreeMap<>());

	private final SortedMap<FieldPath, String> values;

	private Document(SortedMap<FieldPath, String> values) {
		this.values = Collections.unmodifiableSortedMap(values);
	}

	/**
	 * Makes a document of values.
	 * @param values the value at each place
	 * @return the document, not checked
	 */
	public static Document of(Map<FieldPath, String> values) {
		return new Document(new TreeMap<>(values));
	}

	/**
	 * This document with one change.
	 * @param change the change
	 * @return the changed document
	 */
	public Document with(FieldChange change) {
		TreeMap<FieldPath, String> changed = new TreeMap<>(this.values);
		change.value()
			.ifPresentOrElse((value) -> changed.put(change.path(), value), () -> changed.remove(change.path()));
		return new Document(changed);
	}

	/**
	 * All values by place.
	 * @return sorted by place, unmodifiable
	 */
	public SortedMap<FieldPath, String> values() {
		return this.values;
	}

	/**
	 * The value at a place.
	 * @param path the place
	 * @return empty if the document has none there
	 */
	public Optional<String> value(FieldPath path) {
		return Optional.ofNullable(this.values.get(path));
	}

	/**
	 * The names of the services that a form describes.
	 * @return sorted
	 */
	public List<ServiceName> services() {
		return this.values.keySet()
			.stream()
			.map(FieldPath::parts)
			.filter((parts) -> parts.getFirst().equals(Form.SERVICE.key()) && parts.size() == 3)
			.map((parts) -> new ServiceName(parts.get(1)))
			.distinct()
			.toList();
	}

	/**
	 * The services as the way of a request needs them.
	 * @return the catalog
	 */
	public ServiceCatalog catalog() {
		return ServiceCatalog
			.of(services().stream().collect(Collectors.toMap(Function.identity(), (service) -> policy(service))));
	}

	private ServicePolicy policy(ServiceName service) {
		String name = service.value();
		Map<RequestClass, ServicePolicy.ClassLimit> limits = new EnumMap<>(RequestClass.class);
		for (RequestClass requestClass : RequestClass.values()) {
			String key = requestClass.name().toLowerCase(java.util.Locale.ROOT);
			limits.put(requestClass, new ServicePolicy.ClassLimit(whole(Form.LIMITS, name, key + "-deadline-millis"),
					whole(Form.LIMITS, name, key + "-share-percent")));
		}
		Map<CallerId, Integer> shares = ValueRule.Entry.parseList(read(Form.LIMITS, name, "caller-shares"))
			.orElse(List.of())
			.stream()
			.collect(
					Collectors.toMap((entry) -> new CallerId(entry.name()), (entry) -> Integer.valueOf(entry.value())));
		ServicePolicy.Sharding division = (read(Form.SERVICE, name, "divided-by-key").equals("no"))
				? ServicePolicy.Sharding.BY_REQUEST_ID : ServicePolicy.Sharding.BY_KEY;
		return new ServicePolicy(division, limits, shares, whole(Form.LIMITS, name, "max-body-bytes"),
				whole(Form.SERVICE, name, "run-limit-millis"), whole(Form.SERVICE, name, "guard-millis"));
	}

	/**
	 * How the three measures weigh against each other.
	 * @return the weights
	 */
	public PlacementWeights weights() {
		return new PlacementWeights(decimal(Form.WEIGHTS, "imbalance"), decimal(Form.WEIGHTS, "churn"),
				decimal(Form.WEIGHTS, "unavailable"));
	}

	/**
	 * What the measures must not exceed.
	 * @return the targets
	 */
	public Targets targets() {
		return new Targets(decimal(Form.TARGETS, "imbalance-ratio"), decimal(Form.TARGETS, "churn-percent-a-day"),
				decimal(Form.TARGETS, "unavailable-seconds-a-day"));
	}

	/**
	 * The failure domains and the region of each.
	 * @return the region's name by failure domain
	 */
	public Map<FailureDomain, String> regions() {
		return ValueRule.Entry.parseList(read(Form.DOMAINS, "", "regions"))
			.orElse(List.of())
			.stream()
			.collect(Collectors.toMap((entry) -> new FailureDomain(entry.name()), ValueRule.Entry::value));
	}

	/**
	 * The names of the operators' secrets that are accepted.
	 * @return empty if the document names none, which accepts each that a daemon was
	 * given
	 */
	public List<String> acceptedSecrets() {
		return List.of("operators-current", "operators-retiring")
			.stream()
			.map((field) -> read(Form.SECRETS, "", field))
			.filter((names) -> !names.isEmpty())
			.flatMap((names) -> List.of(names.split(",")).stream())
			.toList();
	}

	private int whole(Form form, String subject, String field) {
		return Integer.parseInt(read(form, subject, field));
	}

	private double decimal(Form form, String field) {
		return Double.parseDouble(read(form, "", field));
	}

	private String read(Form form, String subject, String field) {
		return value(form.path(subject, field)).orElseGet(() -> form.field(field).orElseThrow().defaultValue());
	}

	@Override
	public boolean equals(@org.jspecify.annotations.Nullable Object other) {
		return other instanceof Document document && document.values.equals(this.values);
	}

	@Override
	public int hashCode() {
		return this.values.hashCode();
	}

	@Override
	public String toString() {
		return "Document" + this.values;
	}

}
