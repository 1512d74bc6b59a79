package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.daemon.mesh.ConfigSource;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Holds the configuration in force. Its version only increases: a stale read or a late
 * answer must not restore a configuration that operators have replaced. Not thread-safe;
 * confined to the request thread.
 */
final class ConfigHolder implements Supplier<RoutingConfig> {

	private final ConfigSource source;

	private final MeshLog log;

	private RoutingConfig inForce = RoutingConfig.NONE;

	private Optional<MetadataStore.Row> row = Optional.empty();

	private long inForceSinceNanos;

	ConfigHolder(ConfigSource source, MeshLog log) {
		this.source = source;
		this.log = log;
	}

	@Override
	public RoutingConfig get() {
		return this.inForce;
	}

	void apply(MetadataStore.Rows rows, Origin origin) {
		rows.rows()
			.stream()
			.filter((each) -> each.key().equals(this.source.key()) && each.version() > rowVersion())
			.forEach((each) -> each.value().ifPresent((value) -> apply(each, value, origin)));
	}

	long millisInForce() {
		return this.row.isPresent() ? Duration.ofNanos(System.nanoTime() - this.inForceSinceNanos).toMillis() : 0;
	}

	// Returns the row from which the configuration in force was read.
	Optional<MetadataStore.Row> row() {
		return this.row;
	}

	long rowVersion() {
		return this.row.map(MetadataStore.Row::version).orElse(0L);
	}

	private void apply(MetadataStore.Row from, byte[] value, Origin origin) {
		Either<Failure, RoutingConfig> read = this.source.read(value);
		if (read.isLeft()) {
			this.log.record(MeshEvent.CONFIG_UNREADABLE, "in_force", this.inForce.version(), "reason",
					read.getLeft().detail());
			return;
		}
		if (read.get().version() > this.inForce.version()) {
			this.log.record(MeshEvent.CONFIG_IN_FORCE, "version", read.get().version(), "before",
					this.inForce.version(), "source", origin, "row", from.version(), "bytes", value.length, "routes",
					read.get().summary());
			this.inForce = read.get();
			this.row = Optional.of(from);
			this.inForceSinceNanos = System.nanoTime();
		}
	}

	/**
	 * Source of a configuration.
	 */
	enum Origin {

		/** The platform's store. */
		STORE,
		/** Another daemon. */
		PEER

	}

}
