package org.brasspier.daemon.mesh;

import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.mesh.RoutingConfig;

/**
 * Locates the operators' configuration and their requests to evacuate failure domains in
 * the store, and parses them. Implementations are stateless and thread-safe.
 */
public interface ConfigSource {

	/**
	 * Returns the name of the table that holds the configuration and the requests.
	 * @return the table name
	 */
	String table();

	/**
	 * Returns the key of the configuration's row.
	 * @return the key
	 */
	String key();

	/**
	 * Parses a configuration.
	 * @param value the row's value
	 * @return the configuration, or the reason why it is invalid
	 */
	Either<Failure, RoutingConfig> read(byte[] value);

	/**
	 * Returns the failure domain whose evacuation a row of the table requests. The domain
	 * is evacuated while the row exists.
	 * @param key the key of the row
	 * @return the domain; empty if the row is not such a request
	 */
	Optional<FailureDomain> evacuatedDomain(String key);

	/**
	 * Returns the key of the row that requests the evacuation of a failure domain.
	 * @param domain the domain
	 * @return the key
	 */
	String evacuationKey(FailureDomain domain);

}
