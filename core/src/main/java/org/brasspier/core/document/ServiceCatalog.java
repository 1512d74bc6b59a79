package org.brasspier.core.document;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.ServiceName;

/**
 * The settings of all services, as request processing needs them: an immutable snapshot
 * that is replaced as a whole when another document takes effect. Thread-safe.
 */
public final class ServiceCatalog {

	/**
	 * The row is read once a second until the store responds, so a retry is useful after
	 * that time.
	 */
	private static final Duration UNKNOWN_RETRY_DELAY = Duration.ofSeconds(1);

	/**
	 * No document is in force: every service that a backend server announces is served
	 * with the default limits.
	 */
	public static final ServiceCatalog OPEN = new ServiceCatalog(Map.of(), Optional.of(defaultPolicy()));

	/** It is not known yet which document is in force: no service is served. */
	public static final ServiceCatalog UNKNOWN = new ServiceCatalog(Map.of(), Optional.empty());

	private final Map<ServiceName, ServicePolicy> policies;

	private final Optional<ServicePolicy> unlistedPolicy;

	private ServiceCatalog(Map<ServiceName, ServicePolicy> policies, Optional<ServicePolicy> unlistedPolicy) {
		this.policies = Map.copyOf(policies);
		this.unlistedPolicy = unlistedPolicy;
	}

	private static ServicePolicy defaultPolicy() {
		ServiceName any = new ServiceName("any");
		FieldChange listed = new FieldChange(Form.SERVICE.path(any.value(), "divided-by-key"), Optional.of("yes"));
		ServicePolicy policy = Document.EMPTY.with(listed).catalog().find(any).orElseThrow();
		return new ServicePolicy(ServicePolicy.Sharding.BY_KEY_IF_GIVEN, policy.limits(), policy.callerShares(),
				policy.maxBodyBytes(), policy.runLimitMillis(), policy.guardMillis());
	}

	static ServiceCatalog of(Map<ServiceName, ServicePolicy> policies) {
		return new ServiceCatalog(policies, Optional.empty());
	}

	/**
	 * Returns the policy of a service.
	 * @param service the service
	 * @return its policy, or the reason why it is not served: the document in force does
	 * not list it, or is not known yet
	 */
	public Either<Failure, ServicePolicy> policy(ServiceName service) {
		if (this == UNKNOWN) {
			return Either.left(new Failure(ErrorKind.NO_OWNER,
					"this daemon does not know yet which configuration is in force (see TROUBLESHOOTING.md#document-unread)",
					UNKNOWN_RETRY_DELAY));
		}
		return find(service).<Either<Failure, ServicePolicy>>map(Either::right)
			.orElseGet(() -> Either.left(Failure.of(ErrorKind.UNKNOWN_SERVICE,
					"the configuration in force has no service \"%s\" (see TROUBLESHOOTING.md#unknown-service)"
						.formatted(service))));
	}

	/**
	 * Finds the policy of a service.
	 * @param service the service
	 * @return the policy; empty if the service is not served, for which {@link #policy}
	 * gives the reason
	 */
	public Optional<ServicePolicy> find(ServiceName service) {
		return Optional.ofNullable(this.policies.get(service)).or(() -> this.unlistedPolicy);
	}

	/**
	 * Returns whether the service is sharded by request id rather than by key, so that
	 * any backend server of the service may run a request.
	 * @param service the service
	 * @return true if it is; false also if the service is not known
	 */
	public boolean isShardedByRequestId(ServiceName service) {
		return find(service).filter((policy) -> policy.sharding() == ServicePolicy.Sharding.BY_REQUEST_ID).isPresent();
	}

}
