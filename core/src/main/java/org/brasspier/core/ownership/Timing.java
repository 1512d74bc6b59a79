package org.brasspier.core.ownership;

/**
 * Time limits of the ownership protocol, all in milliseconds; docs/DESIGN.md gives the
 * reasons. All members of a cell must use the same values. Immutable and thread-safe.
 *
 * @param heartbeat interval of a member's heartbeats, which go to the two lease managers
 * in turn
 * @param lease duration of a renewal, from the time at which the member sent the
 * heartbeat that it answers
 * @param memberSilence time without a heartbeat after which a lease manager starts to
 * revoke a member
 * @param beat interval at which the lease managers ask each other for confirmation
 * @param peerSilence time without a message after which a lease manager replaces the
 * other one
 * @param authority how long a lease manager may renew after it sent the beat that was
 * confirmed last
 * @param withoutTable how long lease managers confirm each other after they last read
 * their epoch in the table
 * @param challenge how long a challenge must stand in the row before a member that does
 * not hear a lease manager takes over without the agreement of the others
 * @param driftPermille allowance for clock drift, in thousandths
 */
public record Timing(long heartbeat, long lease, long memberSilence, long beat, long peerSilence, long authority,
		long withoutTable, long challenge, long driftPermille) {

	/**
	 * Values for production. The ranges of a lost member move about 0.65 s after its last
	 * heartbeat, which leaves a third of the promised second for the write, the grant and
	 * scheduling delays. The heartbeat interval is 200 ms, since most bytes that a
	 * manager sends are the headers of these messages, and they limit the size of a cell.
	 * Three renewals fit into a lease, and if one manager is lost, the other renews after
	 * 400 ms a lease of at least 500 ms. A manager hears each member every 400 ms and
	 * suspects it after 500 ms; its ranges may move only later, when the lease has
	 * expired.
	 */
	public static final Timing STANDARD = new Timing(200, 600, 500, 100, 300, 600, 900_000, 10_000, 10);

	private static final long PERMILLE_BASE = 1000;

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if they are inconsistent
	 */
	public Timing {
		if (heartbeat < 1 || lease <= heartbeat || beat < 1 || authority <= beat || driftPermille < 0) {
			throw new IllegalArgumentException(
					"a lease of %d must outlast heartbeats of %d, and authority of %d beats of %d".formatted(lease,
							heartbeat, authority, beat));
		}
	}

	/**
	 * Returns how long to wait on this clock until a span has certainly passed on another
	 * one.
	 * @param span the span on the other clock, in milliseconds
	 * @return the span plus the drift allowance, rounded up
	 */
	public long withDrift(long span) {
		return span + (span * this.driftPermille + PERMILLE_BASE - 1) / PERMILLE_BASE;
	}

}
