package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class ProcessorTimesTests {

	@TempDir
	private Path threads;

	private void thread(String id, String name, String times) throws IOException {
		Path folder = Files.createDirectory(this.threads.resolve(id));
		Files.writeString(folder.resolve("comm"), name + "\n");
		Files.writeString(folder.resolve("schedstat"), times + "\n");
	}

	@Test
	void timesOfThreadsOfOnePurposeAreSummed() throws IOException {
		thread("10", "requests", "3000000 5 7");
		thread("11", "C1 CompilerThre", "2000000 5 7");
		thread("12", "C2 CompilerThre", "1000000 5 7");
		thread("13", "VM Thread", "4000000 5 7");
		thread("14", "main", "6000000 5 7");
		assertThat(new ProcessorTimes(this.threads).read())
			.isEqualTo(Map.of(ProcessorTimes.Purpose.REQUESTS, Duration.ofMillis(3), ProcessorTimes.Purpose.COMPILER,
					Duration.ofMillis(3), ProcessorTimes.Purpose.COLLECTOR, Duration.ofMillis(4),
					ProcessorTimes.Purpose.LOGGING, Duration.ZERO, ProcessorTimes.Purpose.OTHER, Duration.ofMillis(6)));
	}

	@Test
	void aThreadThatEndsWhileItIsReadIsNotCounted() throws IOException {
		Files.createDirectory(this.threads.resolve("10"));
		assertThat(new ProcessorTimes(this.threads).read().values()).containsExactly(Duration.ZERO, Duration.ZERO,
				Duration.ZERO, Duration.ZERO, Duration.ZERO);
	}

	@Test
	void systemsWithoutProcCountNothing() {
		assertThat(new ProcessorTimes(this.threads.resolve("absent")).read().values()).containsExactly(Duration.ZERO,
				Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);
	}

}
