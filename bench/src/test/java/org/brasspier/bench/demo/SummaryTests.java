package org.brasspier.bench.demo;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.brasspier.standins.Attempt;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.InstanceLoss;
import org.brasspier.standins.ServerRecord;
import org.brasspier.standins.ServerRecord.Kind;
import org.brasspier.standins.StandInRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that {@link Summary} reports violations in histories that deliberately contain
 * them.
 */
class SummaryTests {

	private static final InstanceLoss LOSS = new InstanceLoss("a", 100);

	private final List<ServerRecord> servers = new ArrayList<>(
			List.of(record(Kind.GRANTED, 1, "a", "", 5), record(Kind.BEGAN, 2, "a", "id-1", 5),
					record(Kind.TOOK_EFFECT, 3, "a", "id-1", 5), record(Kind.GRANTED, 110, "b", "", 8),
					record(Kind.BEGAN, 111, "b", "id-2", 8), record(Kind.TOOK_EFFECT, 112, "b", "id-2", 8)));

	private final List<CallerRecord> callers = List.of(answered("id-1", 1, 4), answered("id-2", 109, 113));

	@Test
	void passesWhenAllGuaranteesHold() {
		assertThat(summary().guaranteesHeld()).isTrue();
	}

	@Test
	void jsonHasTheDocumentedFields() {
		JsonObject line = JsonParser.parseString(summary().toJson()).getAsJsonObject();
		assertThat(line.keySet()).containsAtLeast("requests", "answered", "refused", "failed", "wrong_owner",
				"ran_twice", "answered_to_wrong_caller", "recovery_ms", "imbalance", "churn", "unavailable");
		assertThat(line.getAsJsonObject("recovery_ms").keySet()).containsAtLeast("median", "max");
		assertThat(line.get("answered").getAsLong()).isEqualTo(2);
	}

	// The lost owner resumes under its old fence, and its posting takes effect after the
	// successor's.
	@Test
	void failsWhenAFormerOwnerStillRunsPostings() {
		this.servers.add(record(Kind.BEGAN, 120, "a", "id-3", 5));
		this.servers.add(record(Kind.TOOK_EFFECT, 121, "a", "id-3", 5));
		assertThat(summary().guaranteesHeld()).isFalse();
		assertThat(summary().wrongOwner()).isAtLeast(1);
	}

	@Test
	void failsWhenAPostingRanTwice() {
		this.servers.add(record(Kind.BEGAN, 120, "b", "id-2", 8));
		this.servers.add(record(Kind.TOOK_EFFECT, 121, "b", "id-2", 8));
		assertThat(summary().guaranteesHeld()).isFalse();
		assertThat(summary().ranTwice()).isEqualTo(1);
	}

	@Test
	void failsWhenARangeIsNotServedAgain() {
		Summary unanswered = Summary.of(new Summary.Histories(this.servers, this.callers.subList(0, 1)),
				Set.of("hullbook"), 1, LOSS, 0);
		assertThat(unanswered.guaranteesHeld()).isFalse();
	}

	private Summary summary() {
		return Summary.of(new Summary.Histories(this.servers, this.callers), Set.of("hullbook"), 1, LOSS, 0);
	}

	private static ServerRecord record(Kind kind, long at, String server, String id, long fence) {
		return new ServerRecord(kind, at, server, server, "hullbook", id, (id.isEmpty()) ? "" : "key-1", "posting",
				fence, "00000000-ffffffff", "");
	}

	private static CallerRecord answered(String id, long sent, long end) {
		return new CallerRecord(StandInRequest.posting("hullbook", "key-1", id), List.of(new Attempt(id,
				InetSocketAddress.createUnresolved("127.0.0.1", 7000), sent, end, 200, Attempt.RAN, "", true, "", 0)));
	}

}
