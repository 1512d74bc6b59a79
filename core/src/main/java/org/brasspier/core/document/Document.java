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
 * The configuration document: a map from field paths to the values that were entered in
 * the forms. Its contents are checked by {@link DocumentValidator}, not here. The typed
 * accessors use a field's default value where the document has none. Immutable and
 * thread-safe.
 */
public final class Document {

	/** The newest format that this build can read, and the format that it writes. */
	public static final int FORMAT = 1;

	/** The document without any values. */
	public static final Document EMPTY = new Document(new TreeMap<>());

	private final SortedMap<FieldPath, String> values;

	private Document(SortedMap<FieldPath, String> values) {
		this.values = Collections.unmodifiableSortedMap(values);
	}

	/**
	 * Creates a document.
	 * @param values the values by path
	 * @return the document, not validated
	 */
	public static Document of(Map<FieldPath, String> values) {
		return new Document(new TreeMap<>(values));
	}

	/**
	 * Returns a copy of this document with one change applied.
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
	 * Returns all values by path.
	 * @return an unmodifiable map, sorted by path
	 */
	public SortedMap<FieldPath, String> values() {
		return this.values;
	}

	/**
	 * Returns the value at a path.
	 * @param path the path
	 * @return the value, or empty if the document has none at this path
	 */
	public Optional<String> value(FieldPath path) {
		return Optional.ofNullable(this.values.get(path));
	}

	/**
	 * Returns the names of the services that the document configures.
	 * @return the names, sorted
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
	 * Returns the settings of all services, as request processing needs them.
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
			limits.put(requestClass, new ServicePolicy.ClassLimit(intValue(Form.LIMITS, name, key + "-deadline-millis"),
					intValue(Form.LIMITS, name, key + "-share-percent")));
		}
		Map<CallerId, Integer> shares = ValueRule.Entry.parseList(valueOrDefault(Form.LIMITS, name, "caller-shares"))
			.orElse(List.of())
			.stream()
			.collect(
					Collectors.toMap((entry) -> new CallerId(entry.name()), (entry) -> Integer.valueOf(entry.value())));
		ServicePolicy.Sharding sharding = (valueOrDefault(Form.SERVICE, name, "divided-by-key").equals("no"))
				? ServicePolicy.Sharding.BY_REQUEST_ID : ServicePolicy.Sharding.BY_KEY;
		return new ServicePolicy(sharding, limits, shares, intValue(Form.LIMITS, name, "max-body-bytes"),
				intValue(Form.SERVICE, name, "run-limit-millis"), intValue(Form.SERVICE, name, "guard-millis"));
	}

	/**
	 * Returns the relative weights of the three measures.
	 * @return the weights
	 */
	public PlacementWeights weights() {
		return new PlacementWeights(doubleValue(Form.WEIGHTS, "imbalance"), doubleValue(Form.WEIGHTS, "churn"),
				doubleValue(Form.WEIGHTS, "unavailable"));
	}

	/**
	 * Returns the upper limits of the measures.
	 * @return the targets
	 */
	public Targets targets() {
		return new Targets(doubleValue(Form.TARGETS, "imbalance-ratio"),
				doubleValue(Form.TARGETS, "churn-percent-a-day"),
				doubleValue(Form.TARGETS, "unavailable-seconds-a-day"));
	}

	/**
	 * Returns the region of each failure domain.
	 * @return the names of the regions by failure domain
	 */
	public Map<FailureDomain, String> regions() {
		return ValueRule.Entry.parseList(valueOrDefault(Form.DOMAINS, "", "regions"))
			.orElse(List.of())
			.stream()
			.collect(Collectors.toMap((entry) -> new FailureDomain(entry.name()), ValueRule.Entry::value));
	}

	/**
	 * Returns the names of the operators' secrets that are accepted.
	 * @return the names; empty if the document lists none, in which case every secret
	 * that a daemon was given is accepted
	 */
	public List<String> acceptedSecrets() {
		return List.of("operators-current", "operators-retiring")
			.stream()
			.map((field) -> valueOrDefault(Form.SECRETS, "", field))
			.filter((names) -> !names.isEmpty())
			.flatMap((names) -> List.of(names.split(",")).stream())
			.toList();
	}

	private int intValue(Form form, String subject, String field) {
		return Integer.parseInt(valueOrDefault(form, subject, field));
	}

	private double doubleValue(Form form, String field) {
		return Double.parseDouble(valueOrDefault(form, "", field));
	}

	private String valueOrDefault(Form form, String subject, String field) {
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
