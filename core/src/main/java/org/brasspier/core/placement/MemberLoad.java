package org.brasspier.core.placement;

import org.brasspier.core.placement.PlacementInput.Member;

/**
 * A member that may own ranges, with its load under the plan. Not thread-safe.
 */
final class MemberLoad {

	private final Member member;

	private double load;

	private int rangeCount;

	MemberLoad(Member member) {
		this.member = member;
	}

	Member member() {
		return this.member;
	}

	double load() {
		return this.load;
	}

	int rangeCount() {
		return this.rangeCount;
	}

	double capacity() {
		return this.member.slots() * this.member.warmShare();
	}

	double utilization() {
		return this.load / capacity();
	}

	double utilizationWith(double weight) {
		return (this.load + weight) / capacity();
	}

	void add(double weight) {
		this.load += weight;
		this.rangeCount++;
	}

	void remove(double weight) {
		this.load -= weight;
		this.rangeCount--;
	}

}
