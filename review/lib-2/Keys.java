import java.util.ArrayList;
import java.util.List;

/** What is seen of keys at all backends of one service. */
final class Keys {

	static final int COUNT = 65_536;

	private final Log log;

	private final List<KeyedBackend> backends = new ArrayList<>();

	/** Since when two backends have held a key at once; 0 if they don't. */
	private final long[] sharedSince = new long[COUNT];

	private final boolean[] held = new boolean[COUNT];

	private final boolean[] taken = new boolean[COUNT];

	/** Keys that two backends held for over half a second. */
	int sharedLong;

	/** Keys that one backend was given while another was at work on them. */
	int takenAtWork;

	Keys(Log log) {
		this.log = log;
	}

	synchronized void add(KeyedBackend backend) {
		this.backends.add(backend);
	}

	/** Called with the keys that a backend has just been given. */
	synchronized void given(KeyedBackend receiver, List<Integer> keys) {
		long now = System.nanoTime();
		for (KeyedBackend other : this.backends) {
			if (other == receiver) {
				continue;
			}
			int atWork = 0;
			int first = -1;
			for (int key : keys) {
				if (other.isWorking(key, now) && !this.taken[key]) {
					this.taken[key] = true;
					this.takenAtWork++;
					atWork++;
					first = (first < 0) ? key : first;
				}
			}
			if (atWork > 0) {
				this.log.say("%s is given %d keys on which %s is at work, first %d: fence %d, hold of the other under %d",
						receiver.id, atWork, other.id, first, receiver.fence(first), other.fence(first));
			}
		}
	}

	/** Looks for keys that two backends hold. */
	synchronized void sample(long now) {
		int longer = 0;
		for (int key = 0; key < COUNT; key++) {
			int holders = 0;
			for (KeyedBackend each : this.backends) {
				if (each.holds(key, now)) {
					holders++;
				}
			}
			if (holders < 2) {
				this.sharedSince[key] = 0;
			}
			else if (this.sharedSince[key] == 0) {
				this.sharedSince[key] = now;
			}
			else if (now - this.sharedSince[key] > 500_000_000 && !this.held[key]) {
				this.held[key] = true;
				longer++;
			}
		}
		if (longer > 0) {
			this.sharedLong += longer;
			this.log.say("%d keys have been held by two backends for over half a second", longer);
		}
	}

}
