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
 * The configuration in force. It only ever goes to a higher version: a stale read or a
 * late answer must not bring back what operators have replaced. Belongs to the thread of
 * requests.
 */
final class ConfigHolder implements Supplier<RoutingConfig> {

	private final ConfigSource source;

	private final MeshLog log;

	private RoutingConfig inForce = RoutingConfig.NONE;

	private Optional<MetadataStore.Row> row = Optional.empty();

	private long sinceNanos;

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
		return this.row.isPresent() ? Duration.ofNanos(System.nanoTime() - this.sinceNanos).toMillis() : 0;
	}

	// The row that the configuration in force was read from.
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
			this.sinceNanos = System.nanoTime();
		}
	}

	/**
	 * Where a configuration came from.
	 */
	enum Origin {

		/** The platform's store. */
		STORE,
		/** Another daemon. */
		PEER

	}

}
