package org.brasspier.daemon.internal.mesh;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.Exoneration;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.Deputy;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeySpan;
import org.brasspier.core.keys.LeaseRow;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the daemons' own rows in the platform's store. Stateless and
 * thread-safe.
 */
final class StoredRows {

	/** Table of members, key maps and crash state. Every daemon follows it. */
	static final String MESH = "mesh";

	/** Table of leases. Only daemons that monitor leases read it. */
	static final String LEASES = "leases";

	static final String MEMBER_PREFIX = "member/";

	static final String KEYS_PREFIX = "keys/";

	static final String CRASHES_PREFIX = "crashes/";

	private static final int HEX_RADIX = 16;

	/**
	 * Index of the handover token in a span's array, present only if anything follows the
	 * fence.
	 */
	private static final int HANDOVER_INDEX = 3;

	/** Index of the next holder in a span's array. */
	private static final int NEXT_HOLDER_INDEX = 4;

	private static final Gson GSON = new Gson();

	private StoredRows() {
	}

	/**
	 * Decodes the key of a row of the table {@link #MESH}.
	 * @param key the key
	 * @return what the row holds, or why the key can't be read
	 */
	static Either<Failure, RowSubject> subject(String key) {
		return parse(() -> {
			if (key.startsWith(MEMBER_PREFIX)) {
				return new RowSubject.OfMember(new InstanceId(key.substring(MEMBER_PREFIX.length())));
			}
			if (key.startsWith(KEYS_PREFIX)) {
				return new RowSubject.OfKeys(new ServiceName(key.substring(KEYS_PREFIX.length())));
			}
			if (key.startsWith(CRASHES_PREFIX)) {
				return new RowSubject.OfCrashes(new InstanceId(key.substring(CRASHES_PREFIX.length())));
			}
			return new RowSubject.OfOthers();
		});
	}

	static byte[] member(Member member) {
		MemberRow row = new MemberRow(text(member.address()), member.failureDomain().value(), member.service().value(),
				member.incarnation().map(BackendIncarnation::id).orElse(null),
				member.incarnation().map(BackendIncarnation::startedMillis).orElse(0L), member.slots(), member.ready(),
				member.passesRows(), member.linkMegabits(),
				member.perSecond().isPresent() ? member.perSecond().getAsDouble() : null);
		return bytes(row);
	}

	static Either<Failure, Member> member(InstanceId instance, byte[] value) {
		return parse(() -> {
			MemberRow row = GSON.fromJson(new String(value, StandardCharsets.UTF_8), MemberRow.class);
			Optional<BackendIncarnation> incarnation = Optional.ofNullable(row.backend())
				.map((id) -> new BackendIncarnation(id, row.born()));
			return new Member(instance, address(row.address()), new FailureDomain(row.domain()),
					new ServiceName(row.service()), incarnation, row.slots(), row.ready(), row.passesRows(),
					row.linkMegabits(),
					(row.perSecond() != null) ? OptionalDouble.of(row.perSecond()) : OptionalDouble.empty());
		});
	}

	/**
	 * Encodes a key map.
	 * @param map the key map
	 * @param earlierBuilds whether daemons of an earlier build must be able to read the
	 * row
	 * @return the row's value
	 */
	static byte[] keys(KeyMap map, boolean earlierBuilds) {
		List<KeyHolder> holders = map.holdings()
			.stream()
			.map((held) -> new KeyHolder(held.holder(), held.incarnation()))
			.distinct()
			.toList();
		List<HolderRow> holderRows = holders.stream()
			.map((holder) -> new HolderRow(holder.instance().value(), holder.incarnation().id(),
					holder.incarnation().startedMillis()))
			.toList();
		List<Object> spans = map.holdings().stream().map((held) -> {
			int holder = holders.indexOf(new KeyHolder(held.holder(), held.incarnation()));
			return earlierBuilds ? earlierSpan(held, holder) : span(held, holder);
		}).toList();
		return bytes(new KeysRow(map.nextFence(), holderRows, spans));
	}

	private static Object earlierSpan(KeyHolding held, int holder) {
		return new SpanRow(held.span().from(), held.span().to(), holder, held.fence().value(),
				held.handover().isEmpty() ? null : held.handover(),
				held.nextHolder().map(InstanceId::value).orElse(null));
	}

	// Encodes a span as the array [first key, holder, fence, handover token, next
	// holder]; the last two are optional. Compact, since a map of many spans must fit
	// into one row. The last key is omitted, since spans are contiguous.
	private static Object span(KeyHolding held, int holder) {
		List<Object> row = new ArrayList<>(List.of(held.span().from(), holder, held.fence().value()));
		if (!held.handover().isEmpty() || held.nextHolder().isPresent()) {
			row.add(held.handover());
		}
		held.nextHolder().ifPresent((next) -> row.add(next.value()));
		return row;
	}

	static Either<Failure, KeyMap> keys(byte[] value) {
		return parse(() -> {
			JsonObject row = JsonParser.parseString(new String(value, StandardCharsets.UTF_8)).getAsJsonObject();
			List<KeyHolder> holders = row.getAsJsonArray("holders")
				.asList()
				.stream()
				.map((holder) -> GSON.fromJson(holder, HolderRow.class))
				.map((holder) -> new KeyHolder(new InstanceId(holder.instance()),
						new BackendIncarnation(holder.backend(), holder.born())))
				.toList();
			List<JsonElement> spans = row.getAsJsonArray("spans").asList();
			List<KeyHolding> holdings = new ArrayList<>();
			int end = KeySpan.LAST_KEY;
			for (JsonElement span : spans.reversed()) {
				SpanRow read = spanRow(span, end);
				KeyHolder holder = holders.get(read.holder());
				holdings.add(new KeyHolding(new KeySpan(read.from(), read.to()), holder.instance(),
						holder.incarnation(), new Fence(read.fence()), Optional.ofNullable(read.handover()).orElse(""),
						Optional.ofNullable(read.next()).map(InstanceId::new)));
				end = read.from() - 1;
			}
			return new KeyMap(holdings, row.get("next").getAsLong());
		});
	}

	// Decodes a span, an array or, as written by daemons of an earlier build, an object.
	private static SpanRow spanRow(JsonElement span, int end) {
		if (span instanceof JsonArray row) {
			String handover = (row.size() > HANDOVER_INDEX) ? row.get(HANDOVER_INDEX).getAsString() : null;
			String next = (row.size() > NEXT_HOLDER_INDEX) ? row.get(NEXT_HOLDER_INDEX).getAsString() : null;
			int from = row.get(0).getAsInt();
			return new SpanRow(from, end, row.get(1).getAsInt(), row.get(2).getAsLong(), handover, next);
		}
		return GSON.fromJson(span, SpanRow.class);
	}

	static byte[] lease(ServiceName service, Optional<Deputy> deputy) {
		return bytes(new LeaseText(service.value(), deputy.map((each) -> each.instance().value()).orElse(null),
				deputy.map((each) -> Long.toHexString(each.process())).orElse(null), null));
	}

	static byte[] leaseTakenBy(InstanceId newHolder) {
		return bytes(new LeaseText(null, null, null, newHolder.value()));
	}

	/**
	 * Decodes the key of a row of the table {@link #LEASES}.
	 * @param key the key
	 * @return the instance whose lease it is, or why the key can't be read
	 */
	static Either<Failure, InstanceId> leaseInstance(String key) {
		return parse(() -> new InstanceId(key));
	}

	static Either<Failure, LeaseRow> lease(long version, byte[] value) {
		return parse(() -> {
			LeaseText row = GSON.fromJson(new String(value, StandardCharsets.UTF_8), LeaseText.class);
			Optional<Deputy> deputy = (row.deputy() != null && row.process() != null)
					? Optional
						.of(new Deputy(new InstanceId(row.deputy()), Long.parseUnsignedLong(row.process(), HEX_RADIX)))
					: Optional.empty();
			return new LeaseRow(version, Optional.ofNullable(row.takenBy()).map(InstanceId::new), deputy);
		});
	}

	static byte[] crashes(CrashState state) {
		return bytes(new CrashesRow(state.reports().stream().map(StoredRows::crash).toList(), hex(state.cleared()),
				state.exonerations()
					.stream()
					.map((each) -> hex(each.crash(), each.exact(), each.resource()))
					.toList()));
	}

	static Either<Failure, CrashState> crashes(byte[] value) {
		return parse(() -> {
			CrashesRow row = GSON.fromJson(new String(value, StandardCharsets.UTF_8), CrashesRow.class);
			List<CrashReport> reports = row.crashes().stream().map(StoredRows::report).toList();
			Set<Exoneration> exonerations = triples(row.exonerations())
				.map((each) -> new Exoneration(each.get(0), each.get(1), each.get(2)))
				.collect(Collectors.toUnmodifiableSet());
			return new CrashState(reports, exonerations, numbers(row.cleared()));
		});
	}

	private static CrashRow crash(CrashReport report) {
		return new CrashRow(report.incarnation().id(), report.incarnation().startedMillis(), hex(report.untagged()),
				Long.toHexString(report.id()),
				report.requests()
					.stream()
					.map((request) -> hex(request.exact(), request.resource(), request.untagged()))
					.toList());
	}

	// Rows of an earlier build have no crash ids.
	private static CrashReport report(CrashRow row) {
		BackendIncarnation incarnation = new BackendIncarnation(row.backend(), row.born());
		if (row.id() == null) {
			return CrashReport.ofEarlierBuild(incarnation, numbers(row.requests()));
		}
		Set<RequestFingerprint> requests = triples(row.fingerprints())
			.map((each) -> new RequestFingerprint(each.get(0), each.get(1), each.get(2)))
			.collect(Collectors.toUnmodifiableSet());
		return new CrashReport(Long.parseUnsignedLong(row.id(), HEX_RADIX), incarnation, requests,
				numbers(row.requests()));
	}

	private static String hex(long... numbers) {
		return Arrays.stream(numbers).mapToObj(Long::toHexString).collect(Collectors.joining(","));
	}

	private static Stream<List<Long>> triples(@Nullable List<String> hex) {
		return Stream.ofNullable(hex).flatMap(List::stream).map((text) -> {
			List<Long> numbers = Arrays.stream(text.split(","))
				.map((number) -> Long.parseUnsignedLong(number, HEX_RADIX))
				.toList();
			if (numbers.size() != 3) {
				throw new IllegalArgumentException("three numbers expected in " + text);
			}
			return numbers;
		});
	}

	private static List<String> hex(Set<Long> numbers) {
		return numbers.stream().map(Long::toHexString).toList();
	}

	private static Set<Long> numbers(List<String> hex) {
		return hex.stream()
			.map((text) -> Long.parseUnsignedLong(text, HEX_RADIX))
			.collect(Collectors.toUnmodifiableSet());
	}

	private static byte[] bytes(Object row) {
		return GSON.toJson(row).getBytes(StandardCharsets.UTF_8);
	}

	private static <T> Either<Failure, T> parse(Supplier<T> parser) {
		try {
			return Either.right(parser.get());
		}
		catch (JsonParseException | IllegalArgumentException | IllegalStateException | UnsupportedOperationException
				| ClassCastException | NullPointerException | IndexOutOfBoundsException ex) {
			return Either.left(Failure.of(ErrorKind.STATE_UNREADABLE, "a row of the store can't be parsed: " + ex));
		}
	}

	private static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(InetAddress.ofLiteral(text.substring(0, colon)),
				Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * What a row of the table {@link #MESH} holds.
	 */
	sealed interface RowSubject {

		/**
		 * An instance's entry.
		 *
		 * @param instance the instance
		 */
		record OfMember(InstanceId instance) implements RowSubject {
		}

		/**
		 * The key map of a service.
		 *
		 * @param service the service
		 */
		record OfKeys(ServiceName service) implements RowSubject {
		}

		/**
		 * The crash state that an instance tells.
		 *
		 * @param instance the instance
		 */
		record OfCrashes(InstanceId instance) implements RowSubject {
		}

		/** Something that this build doesn't know. */
		record OfOthers() implements RowSubject {
		}

	}

	private record CrashesRow(List<CrashRow> crashes, List<String> cleared, @Nullable List<String> exonerations) {
	}

	private record CrashRow(String backend, long born, List<String> requests, @Nullable String id,
			@Nullable List<String> fingerprints) {
	}

	private record LeaseText(@Nullable String service, @Nullable String deputy, @Nullable String process,
			@Nullable String takenBy) {
	}

	private record MemberRow(String address, String domain, String service, @Nullable String backend, long born,
			int slots, boolean ready, boolean passesRows, int linkMegabits, @Nullable Double perSecond) {
	}

	private record HolderRow(String instance, String backend, long born) {
	}

	private record SpanRow(int from, int to, int holder, long fence, @Nullable String handover, @Nullable String next) {
	}

	private record KeysRow(long next, List<HolderRow> holders, List<Object> spans) {
	}

}
