package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * When two daemons tell each other what they know of the store's rows. Each follows the
 * store by a feed of its own, and mostly both know the same within some milliseconds. But
 * a feed can go silent, the store may turn one instance away, and a daemon that starts
 * while the store is down knows nobody. Then one that knows more tells. Not thread-safe;
 * one for each connection.
 */
public final class RowExchange {

	/**
	 * Feeds differ by some milliseconds, and by some hundred where the store is slow.
	 * Well below the two seconds within which a configuration must be in force.
	 */
	private static final long BEHIND_NANOS = Duration.ofMillis(400).toNanos();

	/** What was told takes effect before it is told again. */
	private static final long AGAIN_NANOS = Duration.ofSeconds(1).toNanos();

	private boolean differ;

	private long differSinceNanos;

	private boolean spoke;

	private long spokeNanos;

	/**
	 * Takes what the other daemon says that it knows.
	 * @param own what this one knows
	 * @param other what the other one knows
	 * @param now the time
	 * @return what to do
	 */
	public Action compare(KnownRows own, KnownRows other, long now) {
		boolean ahead = own.aheadOf(other);
		boolean behind = other.aheadOf(own);
		if (!ahead && !behind) {
			this.differ = false;
			return Action.NOTHING;
		}
		if (!this.differ) {
			this.differ = true;
			this.differSinceNanos = now;
		}
		boolean nothingKnown = other.config() == 0 || other.mesh() == 0;
		boolean due = nothingKnown || now - this.differSinceNanos >= BEHIND_NANOS;
		if (!due || (this.spoke && now - this.spokeNanos < AGAIN_NANOS)) {
			return Action.NOTHING;
		}
		this.spoke = true;
		this.spokeNanos = now;
		return new Action(ahead, behind);
	}

	/**
	 * What to do.
	 *
	 * @param send whether to tell the other one what it lacks
	 * @param request whether to ask it for what this one lacks
	 */
	public record Action(boolean send, boolean request) {

		/** Both know the same, or will soon. */
		public static final Action NOTHING = new Action(false, false);

	}

}
