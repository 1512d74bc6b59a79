package org.brasspier.core.document;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.ServiceName;

/**
 * The services as the way of a request needs them: an immutable snapshot that is replaced
 * whole when another document comes into force. Thread-safe.
 */
public final class ServiceCatalog {

	/** The row is read once a second until it answers. */
	private static final Duration UNREAD_PAUSE = Duration.ofSeconds(1);

	/**
	 * Before any document is in force: each service that a backend server announces is
	 * served with the usual limits.
	 */
	public static final ServiceCatalog OPEN = new ServiceCatalog(Map.of(), Optional.of(usual()));

	/** Nobody knows yet which document is in force: nothing is served. */
	public static final ServiceCatalog UNKNOWN = new ServiceCatalog(Map.of(), Optional.empty());

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
		return new ServicePolicy(ServicePolicy.Sharding.BY_KEY_IF_GIVEN, policy.limits(), policy.callerShares(),
				policy.maxBodyBytes(), policy.runLimitMillis(), policy.guardMillis());
	}

	static ServiceCatalog of(Map<ServiceName, ServicePolicy> policies) {
		return new ServiceCatalog(policies, Optional.empty());
	}

	/**
	 * What holds for a service.
	 * @param service the service
	 * @return its policy, or why it isn't served: the document in force doesn't name it,
	 * or isn't known yet
	 */
	public Either<Failure, ServicePolicy> policy(ServiceName service) {
		if (this == UNKNOWN) {
			return Either.left(new Failure(ErrorKind.NO_OWNER,
					"this daemon does not know yet which configuration is in force (see TROUBLESHOOTING.md#document-unread)",
					UNREAD_PAUSE));
		}
		return find(service).<Either<Failure, ServicePolicy>>map(Either::right)
			.orElseGet(() -> Either.left(Failure.of(ErrorKind.UNKNOWN_SERVICE,
					"the configuration in force has no service \"%s\" (see TROUBLESHOOTING.md#unknown-service)"
						.formatted(service))));
	}

	/**
	 * What holds for a service.
	 * @param service the service
	 * @return empty if {@link #policy} says why not
	 */
	public Optional<ServicePolicy> find(ServiceName service) {
		return Optional.ofNullable(this.policies.get(service)).or(() -> this.unlisted);
	}

	/**
	 * Whether request ids are divided in place of keys, so that any server of the service
	 * may run a request.
	 * @param service the service
	 * @return false also if nothing is known of the service
	 */
	public boolean isShardedByRequestId(ServiceName service) {
		return find(service).filter((policy) -> policy.sharding() == ServicePolicy.Sharding.BY_REQUEST_ID).isPresent();
	}

}
