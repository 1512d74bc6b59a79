package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.brasspier.core.InstanceId;

/**
 * Decides whether a member that hears neither lease manager takes over. Either both
 * managers are lost, or this member alone is disconnected, and then a takeover would
 * interrupt a healthy cell. So it probes the other members: if more than half of the
 * members that are not managers, itself included, hear no manager either, one of them
 * takes over at once. If they can't be reached, a challenge in the row gives managers
 * that reach the table time to respond. Not thread-safe; cheap to copy.
 */
final class Takeover {

	/** Interval of probes. */
	static final long PROBE_MILLIS = 100;

	/** Maximum age of a probe answer. */
	private static final long MAX_ANSWER_AGE_MILLIS = 300;

	/**
	 * Additional delay before a takeover, except for the member with the lowest name
	 * among those that agree, so that usually only one of them writes.
	 */
	private static final long STAGGER_MILLIS = 300;

	/**
	 * Time since a manager was last heard after which a member challenges the managers.
	 */
	private static final long CHALLENGE_AFTER_MILLIS = 2000;

	private final MemberKey self;

	private final Timing timing;

	private SortedMap<InstanceId, Answer> answers = TreeMap.empty();

	private long challengeSeenAt;

	private Optional<MemberKey> challenger = Optional.empty();

	private long challengeAnsweredAt = Long.MIN_VALUE / 4;

	Takeover(MemberKey self, Timing timing) {
		this.self = self;
		this.timing = timing;
	}

	Takeover copy() {
		Takeover copy = new Takeover(this.self, this.timing);
		copy.answers = this.answers;
		copy.challengeSeenAt = this.challengeSeenAt;
		copy.challenger = this.challenger;
		copy.challengeAnsweredAt = this.challengeAnsweredAt;
		return copy;
	}

	List<Object> state() {
		return List.of(this.answers, this.challengeSeenAt, this.challenger, this.challengeAnsweredAt);
	}

	void onProbeAnswer(InstanceId from, ControlMessage.ProbeAnswer answer, long now) {
		this.answers = this.answers.put(from, new Answer(now, answer));
	}

	/**
	 * Handles a newer row.
	 * @param row the row
	 * @param now current time, milliseconds
	 */
	void adopt(CellRow row, long now) {
		if (this.challenger.isPresent() && row.challenger().isEmpty()) {
			this.challengeAnsweredAt = now;
		}
		if (!row.challenger().equals(this.challenger)) {
			this.challenger = row.challenger();
			this.challengeSeenAt = now;
		}
	}

	// Returns the time without a message from a manager after which the other members are
	// probed.
	long silenceTimeout() {
		return this.timing.peerSilence() + this.timing.memberSilence() / 2;
	}

	/**
	 * Returns the row that this process should write, if any.
	 * @param row the newest known row
	 * @param silentMillis time since it last heard of a lease manager, milliseconds
	 * @param now current time, milliseconds
	 * @return the row to write
	 */
	Optional<CellRow> rowToWrite(CellRow row, long silentMillis, long now) {
		if (row.managers().isEmpty()) {
			return Optional.of(row.nextEpoch(this.self, Optional.empty(), row.unclosed()));
		}
		ManagerPair pair = row.managers().get();
		if (pair.managers().allMatch((manager) -> hasEnded(manager, now))) {
			// Both processes have ended, so neither confirms the other any longer. The
			// usual wait for the managers' authority (Timing.authority) to end after
			// the new epoch has started is sufficient.
			return Optional.of(row.nextEpoch(this.self, Optional.empty(), row.unclosed()));
		}
		if (silentMillis > silenceTimeout() && othersAgree(row, pair, silentMillis, now)) {
			return Optional.of(takeoverRow(row, pair));
		}
		return (silentMillis > CHALLENGE_AFTER_MILLIS) ? challengeOrTakeOver(row, pair, now) : Optional.empty();
	}

	// Returns whether a manager's process has certainly ended, because its instance runs
	// another process at the same address.
	private boolean hasEnded(MemberKey manager, long now) {
		if (manager.instance().equals(this.self.instance())) {
			return manager.incarnation() != this.self.incarnation();
		}
		return this.answers.get(manager.instance())
			.filter((answer) -> answer.isRecent(now) && answer.message().incarnation() != manager.incarnation())
			.isDefined();
	}

	private boolean othersAgree(CellRow row, ManagerPair pair, long silentMillis, long now) {
		List<InstanceId> voters = row.members()
			.stream()
			.filter((member) -> !pair.includes(member.key()))
			.map(MemberInfo::instance)
			.toList();
		List<InstanceId> agreeing = voters.stream().filter((voter) -> agrees(voter, row.epoch(), now)).toList();
		boolean lowestName = agreeing.stream().allMatch((voter) -> voter.compareTo(this.self.instance()) > 0);
		boolean majority = row.has(this.self) && (agreeing.size() + 1) * 2 > voters.size();
		return majority && (lowestName || silentMillis > silenceTimeout() + STAGGER_MILLIS);
	}

	private boolean agrees(InstanceId voter, long epoch, long now) {
		return this.answers.get(voter)
			.filter((answer) -> answer.isRecent(now) && answer.message().epoch() <= epoch
					&& answer.message().heardAgo() > this.timing.peerSilence())
			.isDefined();
	}

	private Optional<CellRow> challengeOrTakeOver(CellRow row, ManagerPair pair, long now) {
		if (row.challenger().isEmpty()) {
			// Managers that answered a challenge reach the table, so there is no urgency.
			return (now - this.challengeAnsweredAt > this.timing.challenge())
					? Optional.of(row.withChallenger(Optional.of(this.self))) : Optional.empty();
		}
		boolean ownChallenge = row.challenger().filter(this.self::equals).isPresent();
		// The challenge of a process that has ended since must not delay other members
		// indefinitely.
		long waitMillis = (ownChallenge) ? this.timing.challenge() : this.timing.challenge() * 2;
		return (now - this.challengeSeenAt > waitMillis) ? Optional.of(takeoverRow(row, pair)) : Optional.empty();
	}

	private CellRow takeoverRow(CellRow row, ManagerPair pair) {
		List<ManagerPair> unclosed = new ArrayList<>(row.unclosed());
		// The authority of a lone manager depends on its reads of the table, so it ends
		// by itself.
		if (pair.secondary().isPresent()) {
			unclosed.add(pair);
		}
		return row.nextEpoch(this.self, Optional.empty(), unclosed);
	}

	/**
	 * An answer to a probe.
	 *
	 * @param receivedAt when it arrived
	 * @param message the answer
	 */
	private record Answer(long receivedAt, ControlMessage.ProbeAnswer message) {

		boolean isRecent(long now) {
			return now - this.receivedAt <= MAX_ANSWER_AGE_MILLIS;
		}

	}

}
