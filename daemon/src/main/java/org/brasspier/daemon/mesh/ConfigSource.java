package org.brasspier.daemon.mesh;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.RoutingConfig;

/**
 * Locates the operators' configuration in the store and parses it. Implementations are
 * stateless and thread-safe.
 */
public interface ConfigSource {

	/**
	 * Returns the name of the table that holds the configuration.
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

}
