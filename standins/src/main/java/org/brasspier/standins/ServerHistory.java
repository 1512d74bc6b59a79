package org.brasspier.standins;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.UUID;

import com.google.gson.Gson;

/**
 * Writes a backend server's history to the standard output, one line of JSON for each
 * record. Each line is flushed immediately, so that everything before the process is
 * killed is recorded. Belongs to one thread.
 */
final class ServerHistory {

	private static final Gson GSON = new Gson();

	private final PrintStream out;

	private final String server;

	private final String service;

	private final String incarnation = UUID.randomUUID().toString().substring(0, 8);

	ServerHistory(PrintStream out, String server, String service) {
		this.out = out;
		this.server = server;
		this.service = service;
	}

	static long nowMicros() {
		return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
	}

	void recordStart() {
		write(ServerRecord.Kind.STARTED, nowMicros(), Order.NONE, "");
	}

	void recordGrant(ServerRecord.Kind kind, long fence, String range) {
		write(kind, nowMicros(), new Order("", "", "", fence, range, 0), "");
	}

	void recordOrder(ServerRecord.Kind kind, long atMicros, Order order, String note) {
		write(kind, atMicros, order, note);
	}

	private void write(ServerRecord.Kind kind, long atMicros, Order order, String note) {
		this.out.println(GSON.toJson(new ServerRecord(kind, atMicros, this.server, this.incarnation, this.service,
				order.id(), order.key(), order.requestClass(), order.fence(), order.range(), note)));
		this.out.flush();
	}

}
