package org.brasspier.daemon.mesh;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.RoutingConfig;

/**
 * Where operators leave their configuration, and how it reads. Implementations are
 * stateless and thread-safe.
 */
public interface ConfigSource {

	/**
	 * The table in which it lies.
	 * @return the table's name
	 */
	String table();

	/**
	 * The key of its row.
	 * @return the key
	 */
	String key();

	/**
	 * Reads it.
	 * @param value the row's value
	 * @return the configuration, or what is wrong with it
	 */
	Either<Failure, RoutingConfig> read(byte[] value);

}
