package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.mesh.MetadataStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class DirectoryTests {

	private static final ServiceName SERVICE = new ServiceName("hulls");

	private static final ServiceName OTHER = new ServiceName("jobs");

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.1", 7600);

	private final MetricRegistry metrics = new MetricRegistry();

	private final EvacuationRows evacuations = new EvacuationRows(new ConfigSourceStandIn((value) -> 0));

	private final Directory directory = new Directory(this.evacuations,
			new MeshLog(new InstanceId("self"), this.metrics));

	private void applyMember(String instance, ServiceName service, InetSocketAddress address, long version) {
		Member member = new Member(new InstanceId(instance), address, new FailureDomain("duluth"), service,
				Optional.empty(), 1, true);
		MetadataStore.Row row = new MetadataStore.Row(StoredRows.MEMBER_PREFIX + instance,
				Optional.of(StoredRows.member(member)), version);
		this.directory.apply(new MetadataStore.Rows(List.of(row), version), false);
	}

	/**
	 * Guards against requests that are sent to the wrong instance. After an instance is
	 * lost permanently, its row remains, and its address may be reused by an instance of
	 * another service. Requests for the keys of the first were then sent to the second,
	 * which refused them for 9 s.
	 */
	@Test
	void anInstanceWhoseAddressWasReusedIsReplaced() {
		applyMember("lost", SERVICE, ADDRESS, 5);
		applyMember("next", OTHER, ADDRESS, 9);
		assertThat(this.directory.isReplaced(new InstanceId("lost"))).isTrue();
		assertThat(this.directory.isReplaced(new InstanceId("next"))).isFalse();
		assertThat(this.directory.serving(SERVICE)).isEmpty();
		assertThat(this.directory.serving(OTHER)).hasSize(1);
	}

	/**
	 * Guards against an instance that stays unknown. When two instances start at the same
	 * moment, one may learn of the other from its feed before it receives the answer to
	 * an earlier read of the whole table. It then removed the other one and assigned it
	 * no keys for as long as both ran.
	 */
	@Test
	void aStaleReadOfTheTableRemovesNoNewerMember() {
		applyMember("other", SERVICE, ADDRESS, 5);
		this.directory.apply(new MetadataStore.Rows(List.of(), 4), true);
		assertThat(this.directory.serving(SERVICE)).hasSize(1);
		this.directory.apply(new MetadataStore.Rows(List.of(), 6), true);
		assertThat(this.directory.serving(SERVICE)).isEmpty();
	}

	@Test
	void anInstanceThatMovedBeforeItsAddressWasReusedIsNotReplaced() {
		applyMember("first", SERVICE, ADDRESS, 5);
		applyMember("first", SERVICE, new InetSocketAddress("10.0.0.2", 7600), 8);
		applyMember("next", OTHER, ADDRESS, 9);
		assertThat(this.directory.isReplaced(new InstanceId("first"))).isFalse();
	}

	// Guards against repeated parsing: each row arrives from the store, from its writer
	// and from readers that forward it. Parsing key maps each time took a fifth of a busy
	// daemon's processor time.
	@Test
	void aKnownMemberRowIsNotParsedAgain() {
		applyMember("other", SERVICE, ADDRESS, 5);
		long changes = this.metrics.counter("events.MEMBER_CHANGED").getCount();
		MetadataStore.Row unreadable = new MetadataStore.Row(StoredRows.MEMBER_PREFIX + "other",
				Optional.of("not to be parsed".getBytes(StandardCharsets.UTF_8)), 5);
		this.directory.apply(new MetadataStore.Rows(List.of(unreadable), 5), false);
		assertThat(this.metrics.counter("events.MEMBER_CHANGED").getCount()).isEqualTo(changes);
		assertThat(this.directory.serving(SERVICE)).hasSize(1);
	}

	@Test
	void aKnownKeyMapIsNotParsedAgain() {
		KeyMap map = KeyMap
			.initial(List.of(new KeyHolder(new InstanceId("other"), new BackendIncarnation("backend", 1))));
		String key = StoredRows.KEYS_PREFIX + SERVICE.value();
		this.directory.apply(new MetadataStore.Rows(
				List.of(new MetadataStore.Row(key, Optional.of(StoredRows.keys(map, false)), 7)), 7), false);
		MetadataStore.Row unreadable = new MetadataStore.Row(key,
				Optional.of("not to be parsed".getBytes(StandardCharsets.UTF_8)), 7);
		this.directory.apply(new MetadataStore.Rows(List.of(unreadable), 7), false);
		assertThat(this.metrics.counter("events.KEYS_MOVED").getCount()).isEqualTo(0);
		assertThat(this.directory.keysVersion(SERVICE)).isEqualTo(7);
	}

	@Test
	void theNewestVersionIsThatOfTheNewestRemainingRow() {
		applyMember("first", SERVICE, ADDRESS, 5);
		applyMember("second", SERVICE, new InetSocketAddress("10.0.0.2", 7600), 9);
		assertThat(this.directory.newestVersion()).isEqualTo(9);
		this.directory.apply(
				new MetadataStore.Rows(
						List.of(new MetadataStore.Row(StoredRows.MEMBER_PREFIX + "second", Optional.empty(), 12)), 12),
				false);
		assertThat(this.directory.newestVersion()).isEqualTo(5);
	}

	// Guards against a daemon that receives crash state from another one and does not
	// forward it.
	@Test
	void crashStateIsReportedOnceAndForwarded() {
		List<CrashState> received = new ArrayList<>();
		this.directory.addCrashListener((instance, state) -> received.add(state));
		CrashState state = new CrashState(List
			.of(new CrashReport(9, new BackendIncarnation("server", 1), Set.of(new RequestFingerprint(4, 5, 6)))),
				Set.of(), Set.of());
		MetadataStore.Row row = new MetadataStore.Row(StoredRows.CRASHES_PREFIX + "a",
				Optional.of(StoredRows.crashes(state)), 6);
		this.directory.apply(new MetadataStore.Rows(List.of(row), 6), false);
		this.directory.apply(new MetadataStore.Rows(List.of(row), 6), true);
		assertThat(received).containsExactly(state);
		assertThat(this.directory.newestVersion()).isEqualTo(6);
		assertThat(this.directory.rowsAfter(5)).containsExactly(row);
	}

	/**
	 * Guards against one unreadable row that hides all rows behind it, since it ends the
	 * feed that delivered them.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "member/", "member/a b", "member/a/b", "keys/", "keys/a b", "crashes/", "crashes/a b",
			"member/12345678901234567890123456789012345678901234567890123456789012345", "unknown/a" })
	void aRowWithAnUnreadableKeyIsLeftOutAlone(String key) {
		for (Optional<byte[]> value : List.of(Optional.of(new byte[] { '{', '}' }), Optional.<byte[]>empty())) {
			Member sound = new Member(new InstanceId("sound"), ADDRESS, new FailureDomain("duluth"), SERVICE,
					Optional.empty(), 1, true);
			this.directory
				.apply(new MetadataStore.Rows(List.of(new MetadataStore.Row(key, value, 5), new MetadataStore.Row(
						StoredRows.MEMBER_PREFIX + "sound", Optional.of(StoredRows.member(sound)), 6)), 6), true);
			assertThat(this.directory.serving(SERVICE)).containsExactly(sound);
			assertThat(this.directory.rowsAfter(0)).hasSize(1);
		}
	}

	/** Guards against values that can be read but can't be true. */
	@ParameterizedTest
	@ValueSource(strings = { "\"10.0.0.1:70000\"", "\"10.0.0.1:0\"", "\"host.example:80\"", "\"10.0.0.1:-1\"", "7",
			"null", "\"10.0.0.1:80\",\"slots\":1e99", "\"10.0.0.1:80\",\"linkMegabits\":-1",
			"\"10.0.0.1:80\",\"perSecond\":1e999", "\"10.0.0.1:80\",\"perSecond\":-1" })
	void aMemberWithImpossibleValuesIsLeftOut(String address) {
		String row = "{\"domain\":\"d\",\"service\":\"%s\",\"slots\":1,\"ready\":true,\"address\":%s}"
			.formatted(SERVICE, address);
		this.directory.apply(
				new MetadataStore.Rows(List
					.of(new MetadataStore.Row("member/a", Optional.of(row.getBytes(StandardCharsets.UTF_8)), 5)), 5),
				false);
		assertThat(this.directory.serving(SERVICE)).isEmpty();
	}

}
