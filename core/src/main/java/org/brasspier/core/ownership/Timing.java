package org.brasspier.core.ownership;

/**
 * The times that ownership is built on, all in milliseconds. docs/DESIGN.md gives the
 * reasons. Every member of a cell must use the same ones. Immutable and thread-safe.
 *
 * @param heartbeat how often a member tells one lease manager or the other, in turn, that
 * it's alive
 * @param lease how long a renewal lasts from when the member sent the heartbeat it
 * answers
 * @param memberSilence how long a lease manager hears nothing of a member before it wants
 * to revoke
 * @param beat how often lease managers ask each other for confirmation
 * @param peerSilence how long a lease manager hears nothing of the other one before it
 * replaces it
 * @param authority how long a lease manager may renew after it sent the beat that was
 * confirmed last
 * @param withoutTable how long lease managers confirm each other after they last read
 * their epoch in the table
 * @param challenge how long a challenge must stand in the row before a member that hears
 * no lease manager takes over without the others' agreement
 * @param driftPermille the allowance for clocks that run differently, in thousandths
 */
public record Timing(long heartbeat, long lease, long memberSilence, long beat, long peerSilence, long authority,
		long withoutTable, long challenge, long driftPermille) {

	/**
	 * The times for production: a lost member's ranges move about 0.65 s after its last
	 * heartbeat, which leaves a third of a second of the promised one for the write, the
	 * grant and a scheduler's delay. A heartbeat each 200 ms, since a manager's bytes are
	 * mostly the headers of these and bound the size of a cell: three renewals fit into a
	 * lease, and where one manager is lost, the other renews after 400 ms what lasts 500
	 * at least. A manager hears a member each 400 ms and suspects it after 500; that a
	 * range may move is decided later still, when the lease has run out.
	 */
	public static final Timing STANDARD = new Timing(200, 600, 500, 100, 300, 600, 900_000, 10_000, 10);

	private static final long WHOLE = 1000;

	/**
	 * Checks the times.
	 * @throws IllegalArgumentException if they contradict each other
	 */
	public Timing {
		if (heartbeat < 1 || lease <= heartbeat || beat < 1 || authority <= beat || driftPermille < 0) {
			throw new IllegalArgumentException(
					"a lease of %d must outlast heartbeats of %d, and authority of %d beats of %d".formatted(lease,
							heartbeat, authority, beat));
		}
	}

	/**
	 * How long to wait on this clock until a span has certainly passed on another.
	 * @param span the span on the other clock, in milliseconds
	 * @return the span with the allowance, rounded up
	 */
	public long withDrift(long span) {
		return span + (span * this.driftPermille + WHOLE - 1) / WHOLE;
	}

}
