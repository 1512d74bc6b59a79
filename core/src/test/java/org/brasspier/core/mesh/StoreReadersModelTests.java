package org.brasspier.core.mesh;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;

import org.brasspier.core.mesh.StoreReadersModel.Daemon;
import org.brasspier.core.mesh.StoreReadersModel.Guard;
import org.brasspier.core.mesh.StoreReadersModel.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * The configuration changes just after the daemons that read the store on behalf of all
 * others were lost. Users' bound: the change is in force everywhere two seconds after its
 * acknowledgement.
 */
class StoreReadersModelTests {

	private static final long IN_FORCE_MILLIS = 2000;

	private static final int SEEDS = 200;

	private static final int DAEMONS = 24;

	private static final int DOMAINS = 4;

	/** The first seed for which a daemon is behind at the bound; -1 if there is none. */
	private static long firstBehind(int daemons, int domains, BiConsumer<StoreReadersModel, SplittableRandom> fault,
			Guard... off) {
		return LongStream.range(0, SEEDS).filter((seed) -> {
			StoreReadersModel model = new StoreReadersModel(daemons, domains, seed, off);
			SplittableRandom random = new SplittableRandom(seed);
			model.run(4000 + random.nextLong(1000));
			model.change();
			model.run(3000 + random.nextLong(4000));
			fault.accept(model, random);
			model.run(random.nextLong(1500));
			model.change();
			model.run(IN_FORCE_MILLIS);
			return model.behind() > 0;
		}).findFirst().orElse(-1);
	}

	private static void lose(StoreReadersModel model, int readers) {
		model.readers().stream().limit(readers).toList().forEach(Daemon::stop);
	}

	private static void cutOff(StoreReadersModel model, int readers, Store how) {
		model.readers().stream().limit(readers).toList().forEach((daemon) -> daemon.store(how));
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "2, 1", "3, 3", "9, 3", "12, 4", "18, 4", "24, 4", "80, 4", "95, 6" })
	void withoutFaultsAChangeIsInForceEverywhereInTime(int daemons, int domains) {
		assertThat(firstBehind(daemons, domains, (model, random) -> {
		})).isEqualTo(-1);
	}

	/**
	 * Guards against daemons that wait for lost readers.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, DOMAINS })
	void aChangeAfterTheLossOfReadersIsInForceInTime(int lost) {
		assertThat(firstBehind(DAEMONS, DOMAINS, (model, random) -> lose(model, lost))).isEqualTo(-1);
	}

	/**
	 * Guards against daemons that rely on readers that the store no longer answers.
	 */
	@ParameterizedTest
	@CsvSource({ "1, REJECTS", "2, REJECTS", "4, REJECTS", "1, HANGS", "2, HANGS", "3, HANGS", "4, HANGS" })
	void aChangeAfterTheStoreStoppedAnsweringReadersIsInForceInTime(int readers, Store how) {
		assertThat(firstBehind(DAEMONS, DOMAINS, (model, random) -> cutOff(model, readers, how))).isEqualTo(-1);
	}

	/**
	 * Guards against readers whose calls all hang on connections that went silent.
	 */
	@ParameterizedTest
	@CsvSource({ "2, 1", "3, 3", "9, 3", "12, 4", "24, 4", "80, 4", "95, 6" })
	void aChangeAfterAllConnectionsWentSilentIsInForceInTime(int daemons, int domains) {
		assertThat(firstBehind(daemons, domains, (model, random) -> model.connectionsSilent())).isEqualTo(-1);
	}

	@ParameterizedTest
	@EnumSource(Guard.class)
	void eachGuardIsNeeded(Guard guard) {
		List<BiConsumer<StoreReadersModel, SplittableRandom>> faults = List.of(
				(model, random) -> lose(model, 1 + random.nextInt(DOMAINS)),
				(model, random) -> cutOff(model, 1 + random.nextInt(DOMAINS), Store.REJECTS),
				(model, random) -> cutOff(model, 1 + random.nextInt(DOMAINS), Store.HANGS));
		assertWithMessage("a seed that is late without " + guard)
			.that(faults.stream().anyMatch((fault) -> firstBehind(DAEMONS, DOMAINS, fault, guard) >= 0))
			.isTrue();
	}

	/**
	 * Guards against a number of store calls that grows with the number of daemons.
	 */
	@Test
	void storeCallsGrowWithFailureDomainsAndNotWithDaemons() {
		StoreReadersModel model = new StoreReadersModel(95, 6, 1);
		model.run(5000);
		long before = model.calls();
		for (int i = 0; i < 60; i++) {
			model.change();
			model.run(1000);
		}
		assertThat(model.calls() - before).isAtMost(60 * 6 * 2 + 60 * 4);
	}

}
