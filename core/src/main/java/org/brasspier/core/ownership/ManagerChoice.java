package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides when a lease manager replaces the other one, and by which member.
 *
 * @param self this process
 * @param timing the time limits
 * @param manager the lease manager of this process
 */
record ManagerChoice(MemberKey self, Timing timing, LeaseManager manager) {

	/**
	 * Factor, in thousandths, by which a manager that hears less than half of the members
	 * waits longer.
	 */
	static final long ISOLATED_FACTOR_PERMILLE = 1500;

	private static final long PERMILLE_BASE = 1000;

	/**
	 * Returns whether the other manager has been silent for so long that it must be
	 * replaced. A manager that hears less than half of the members waits longer, since it
	 * is probably the disconnected one.
	 * @param row the newest known row
	 * @param now current time, milliseconds
	 * @return true if it must be replaced
	 */
	boolean isPeerSilent(CellRow row, long now) {
		long otherCount = row.members().size() - 2L;
		long heardCount = heardMembers(row, now).size();
		long timeout = (heardCount * 2 >= otherCount) ? this.timing.peerSilence()
				: this.timing.peerSilence() * ISOLATED_FACTOR_PERMILLE / PERMILLE_BASE;
		return this.manager.peer().isPresent() && now - this.manager.authority().peerHeardAt() > timeout;
	}

	private List<MemberInfo> heardMembers(CellRow row, long now) {
		return row.members()
			.stream()
			.filter((member) -> !member.key().equals(this.self)
					&& !this.manager.peer().filter(member.key()::equals).isPresent())
			.filter((member) -> !this.manager.isSilent(member.key(), now) && this.manager.memberRecord(member.key())
				.filter((memberRecord) -> memberRecord.ackedEpoch() > 0)
				.isPresent())
			.toList();
	}

	/**
	 * Chooses another manager: a member that is heard and is not leaving, in another
	 * failure domain if possible, so that one fault does not take both managers.
	 * @param row the newest known row
	 * @param now current time, milliseconds
	 * @return the member, empty if there is none
	 */
	Optional<MemberInfo> candidate(CellRow row, long now) {
		Optional<MemberInfo> ownInfo = row.member(this.self.instance());
		List<MemberInfo> candidates = new ArrayList<>(heardMembers(row, now));
		candidates.removeIf((member) -> member.phase() == MemberPhase.LEAVING
				|| this.manager.revocations().containsKey(member.key()));
		return candidates.stream()
			.filter((member) -> ownInfo.filter((info) -> info.domain().equals(member.domain())).isEmpty())
			.findFirst()
			.or(() -> candidates.stream().findFirst());
	}

	// Returns the other manager of the next epoch: the current one if it is heard again,
	// otherwise another member.
	Optional<MemberInfo> successor(CellRow row, long now) {
		return this.manager.peer()
			.filter((key) -> now - this.manager.authority().peerHeardAt() <= this.timing.peerSilence())
			.flatMap((key) -> row.member(key.instance()).filter((member) -> member.key().equals(key)))
			.filter((member) -> member.phase() != MemberPhase.LEAVING)
			.or(() -> candidate(row, now));
	}

}
