import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A backend of a service that is divided by key; keys are granted in answers to heartbeats. */
final class KeyedBackend extends Backend {

	private final Keys keys;

	private final long[] fence = new long[Keys.COUNT];

	private final long[] highest = new long[Keys.COUNT];

	private final int[] working = new int[Keys.COUNT];

	private final boolean[] released = new boolean[Keys.COUNT];

	private final List<String> freedRows = new ArrayList<>();

	private long untilNanos;

	private boolean releasing;

	volatile int workMillis = 1500;

	KeyedBackend(String id, Machine machine, int slots, Log log, Keys keys) throws IOException {
		super(id, machine, slots, log);
		this.keys = keys;
		keys.add(this);
		this.work = (request) -> new Done(200, "", "done".getBytes(StandardCharsets.UTF_8));
		Thread.ofVirtual().start(this::beatKeys);
	}

	@Override
	boolean beats() {
		return false;
	}

	@Override
	Done tryRun(Http request) throws InterruptedException, IOException {
		int key = Integer.parseInt(request.field("X-Shard-Key"));
		synchronized (this.keys) {
			if (!holds(key, System.nanoTime()) || this.released[key]) {
				return new Done(421, "X-Instance-Id: " + this.id + "\r\nX-Not-Executed: 1\r\n", new byte[0]);
			}
			this.working[key]++;
		}
		try {
			Thread.sleep(this.workMillis);
			return new Done(200, "", ("done " + key).getBytes(StandardCharsets.UTF_8));
		}
		finally {
			synchronized (this.keys) {
				this.working[key]--;
				if (this.working[key] == 0 && this.released[key]) {
					free(key, key);
				}
			}
		}
	}

	boolean holds(int key, long now) {
		return this.open && this.fence[key] != 0 && now - this.untilNanos < 0;
	}

	/** Whether the backend is at work on a key, and its hold has not run out. */
	boolean isWorking(int key, long now) {
		return holds(key, now) && this.working[key] > 0;
	}

	long fence(int key) {
		return this.fence[key];
	}

	int heldCount() {
		synchronized (this.keys) {
			int count = 0;
			long now = System.nanoTime();
			for (int key = 0; key < Keys.COUNT; key++) {
				count += holds(key, now) ? 1 : 0;
			}
			return count;
		}
	}

	private void free(int from, int to) {
		for (int key = from; key <= to; key++) {
			this.fence[key] = 0;
			this.released[key] = false;
		}
		this.freedRows.add("[%d,%d,\"%016x\"]".formatted(from, to, ThreadLocalRandom.current().nextLong()));
	}

	@Override
	String holds() {
		synchronized (this.keys) {
			if (System.nanoTime() - this.untilNanos >= 0) {
				// The lease has expired.
				java.util.Arrays.fill(this.fence, 0);
			}
			StringBuilder rows = new StringBuilder("[");
			for (int from = 0; from < Keys.COUNT; from++) {
				if (this.fence[from] != 0) {
					int to = from;
					while (to + 1 < Keys.COUNT && this.fence[to + 1] == this.fence[from]) {
						to++;
					}
					rows.append((rows.length() > 1) ? "," : "")
						.append("[" + from + "," + to + "," + this.fence[from] + "]");
					from = to;
				}
			}
			return rows.append("]").toString();
		}
	}

	@Override
	String freed() {
		synchronized (this.keys) {
			return "[" + String.join(",", this.freedRows) + "]";
		}
	}

	private void beatKeys() {
		while (this.open) {
			int freedSent;
			String body;
			synchronized (this.keys) {
				body = heartbeat();
				freedSent = this.freedRows.size();
			}
			long sent = System.nanoTime();
			try {
				Http answer = send("heartbeat", body);
				if (answer != null && answer.status() == 200 && System.nanoTime() - sent < 1_000_000_000L) {
					synchronized (this.keys) {
						this.freedRows.subList(0, freedSent).clear();
						apply(Json.object(new String(answer.body(), StandardCharsets.UTF_8)), sent);
					}
				}
			}
			catch (IOException ex) {
				// The daemon is away.
			}
			try {
				Thread.sleep(this.releasing ? 90 : 870);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void apply(Map<String, Object> answer, long sentNanos) {
		if (!answer.containsKey("holds")) {
			return;
		}
		String hold = answer.get("hold_time").toString();
		long[] next = new long[Keys.COUNT];
		for (Object each : Json.list(answer.get("holds"))) {
			List<Object> row = Json.list(each);
			int from = (int) Json.number(row.get(0));
			int to = (int) Json.number(row.get(1));
			long token = Json.number(row.get(2));
			boolean accepted = true;
			for (int key = from; key <= to; key++) {
				accepted &= this.highest[key] <= token;
			}
			for (int key = from; accepted && key <= to; key++) {
				next[key] = token;
				this.highest[key] = token;
			}
		}
		this.untilNanos = sentNanos + Long.parseLong(hold.replace("ms", "")) * 1_000_000;
		List<Integer> given = new ArrayList<>();
		this.releasing = false;
		for (int key = 0; key < Keys.COUNT; key++) {
			if (next[key] != 0) {
				if (this.fence[key] == 0) {
					given.add(key);
				}
				this.fence[key] = next[key];
				this.released[key] = false;
			}
			else if (this.fence[key] != 0) {
				this.releasing = true;
				this.released[key] = true;
			}
		}
		for (int from = 0; from < Keys.COUNT; from++) {
			if (this.released[from] && this.working[from] == 0) {
				int to = from;
				while (to + 1 < Keys.COUNT && this.released[to + 1] && this.working[to + 1] == 0) {
					to++;
				}
				free(from, to);
				from = to;
			}
		}
		if (!given.isEmpty()) {
			this.log.line("backend %s is given %d keys, the first is %d", this.id, given.size(), given.get(0));
			this.keys.given(this, given);
		}
	}

}
