package org.brasspier.core.keys;

import org.brasspier.core.Fence;

/**
 * Tracks which fences may still be sent to the local backend server. A fence is sent in
 * one session only: a later session may lead to another process at the same address, and
 * a server must not receive a fence that another one had. Not thread-safe.
 */
final class SentFences {

	private long session;

	// The lowest fence that was certainly not sent before the session.
	private long unsentFrom;

	private long highestSent;

	/**
	 * Records that all fences below a limit may have been sent already, otherwise than in
	 * a session of this process.
	 * @param limit the lowest fence that has certainly not been sent
	 */
	void recordSentBelow(long limit) {
		this.highestSent = Math.max(this.highestSent, limit - 1);
		this.unsentFrom = Math.max(this.unsentFrom, limit);
	}

	/**
	 * Returns whether a fence may be sent in a session.
	 * @param fence the fence
	 * @param inSession the number of the session, not lower than any before
	 * @return false if it may have been sent before that session began
	 */
	boolean maySend(Fence fence, long inSession) {
		return fence.value() >= firstUnsent(inSession);
	}

	void recordSent(Fence fence, long inSession) {
		this.unsentFrom = firstUnsent(inSession);
		this.session = inSession;
		this.highestSent = Math.max(this.highestSent, fence.value());
	}

	private long firstUnsent(long inSession) {
		return (inSession == this.session) ? this.unsentFrom : Math.max(this.unsentFrom, this.highestSent + 1);
	}

}
