package org.brasspier.core.document;

import java.util.Map;
import java.util.Optional;

import org.brasspier.core.ServiceName;

/**
 * The services as the way of a request needs them: an immutable snapshot that is replaced
 * whole when another document comes into force. Thread-safe.
 */
public final class ServiceCatalog {

	/**
	 * Before any document is in force: each service that a backend server announces is
	 * served with the usual limits.
	 */
	public static final ServiceCatalog OPEN = new ServiceCatalog(Map.of(), Optional.of(usual()));

	private final Map<ServiceName, ServicePolicy> policies;

	private final Optional<ServicePolicy> unlisted;

	private ServiceCatalog(Map<ServiceName, ServicePolicy> policies, Optional<ServicePolicy> unlisted) {
		this.policies = Map.copyOf(policies);
		this.unlisted = unlisted;
	}

	private static ServicePolicy usual() {
		ServiceName any = new ServiceName("any");
		FieldChange listed = new FieldChange(Form.SERVICE.path(any.value(), "divided-by-key"), Optional.of("yes"));
		ServicePolicy policy = Document.EMPTY.with(listed).catalog().find(any).orElseThrow();
		return new ServicePolicy(ServicePolicy.Division.BY_KEY_IF_GIVEN, policy.limits(), policy.callerShares(),
				policy.maxBodyBytes(), policy.runLimitMillis(), policy.guardMillis());
	}

	static ServiceCatalog of(Map<ServiceName, ServicePolicy> policies) {
		return new ServiceCatalog(policies, Optional.empty());
	}

	/**
	 * What holds for a service.
	 * @param service the service
	 * @return empty if a document is in force that doesn't name the service
	 */
	public Optional<ServicePolicy> find(ServiceName service) {
		return Optional.ofNullable(this.policies.get(service)).or(() -> this.unlisted);
	}

}
