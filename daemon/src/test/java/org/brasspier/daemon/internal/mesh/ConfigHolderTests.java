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

	private final AtomicInteger reads = new AtomicInteger();

	private final ConfigHolder config = new ConfigHolder(new ConfigSourceStandIn((value) -> {
		this.reads.incrementAndGet();
		return Long.parseLong(new String(value, StandardCharsets.UTF_8));
	}), new MeshLog(new InstanceId("self"), new MetricRegistry()));

	private void take(long rowVersion, long configVersion) {
		byte[] value = Long.toString(configVersion).getBytes(StandardCharsets.UTF_8);
		this.config.apply(
				new MetadataStore.Rows(
						List.of(new MetadataStore.Row(ConfigSourceStandIn.KEY, Optional.of(value), rowVersion)), 0),
				ConfigHolder.Origin.PEER);
	}

	/**
	 * Guards against a daemon that has no processor time left for requests because other
	 * daemons tell it a large configuration that it knows, each of them once.
	 */
	@Test
	void aRowThatIsKnownIsNotReadAgain() {
		for (int i = 0; i < 10; i++) {
			take(5, 3);
		}
		take(4, 2);
		assertThat(this.reads.get()).isEqualTo(1);
	}

	@Test
	void aNewerRowIsReadAndAnOlderVersionInItIsNotTaken() {
		take(5, 3);
		take(6, 2);
		assertThat(this.config.get().version()).isEqualTo(3);
		take(7, 4);
		assertThat(this.config.get().version()).isEqualTo(4);
		assertThat(this.config.rowVersion()).isEqualTo(7);
	}

}
