package org.brasspier.daemon.internal.mesh;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.core.InstanceId;
import org.brasspier.daemon.mesh.MetadataStore;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConfigHolderTests {

	private final AtomicInteger parseCount = new AtomicInteger();

	private final ConfigHolder config = new ConfigHolder(new ConfigSourceStandIn((value) -> {
		this.parseCount.incrementAndGet();
		return Long.parseLong(new String(value, StandardCharsets.UTF_8));
	}), new MeshLog(new InstanceId("self"), new MetricRegistry()));

	private void apply(long rowVersion, long configVersion) {
		byte[] value = Long.toString(configVersion).getBytes(StandardCharsets.UTF_8);
		this.config.apply(
				new MetadataStore.Rows(
						List.of(new MetadataStore.Row(ConfigSourceStandIn.KEY, Optional.of(value), rowVersion)), 0),
				ConfigHolder.Origin.PEER);
	}

	/**
	 * Guards against a daemon that runs out of processor time for requests because many
	 * other daemons each send it a large configuration that it already knows, and it
	 * parses each copy.
	 */
	@Test
	void aKnownRowIsNotParsedAgain() {
		for (int i = 0; i < 10; i++) {
			apply(5, 3);
		}
		apply(4, 2);
		assertThat(this.parseCount.get()).isEqualTo(1);
	}

	@Test
	void anOlderConfigurationInANewerRowIsIgnored() {
		apply(5, 3);
		apply(6, 2);
		assertThat(this.config.get().version()).isEqualTo(3);
		apply(7, 4);
		assertThat(this.config.get().version()).isEqualTo(4);
		assertThat(this.config.rowVersion()).isEqualTo(7);
	}

}
