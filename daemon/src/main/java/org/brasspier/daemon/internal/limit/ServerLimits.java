package org.brasspier.daemon.internal.limit;

import java.util.Optional;

import org.brasspier.core.coldstart.ColdStartLimiter;
import org.brasspier.core.coldstart.CombinedStartLimit;
import org.brasspier.core.coldstart.StartLimit;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.mesh.ServiceRule;
import org.brasspier.daemon.internal.coldstart.WarmthChecks;
import org.brasspier.daemon.internal.http.BackendReply;
import org.brasspier.daemon.mesh.BackendProtocol;
import org.brasspier.daemon.mesh.BackendRequest;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * The rates at which the local backend server may be sent requests: what it tolerates
 * while it is cold, and what its answers name. Not thread-safe; confined to the request
 * thread.
 */
public final class ServerLimits {

	private final ColdStartLimiter coldStart;

	private final WarmthChecks warmthChecks;

	private final ServerNotices notices;

	private final BackendProtocol protocol;

	private final MeshSettings.ColdOverage overage;

	/**
	 * Creates the limits.
	 * @param coldStart the limit of a cold server
	 * @param warmthChecks find out whether the server is cold
	 * @param notices what the server's answers state
	 * @param protocol reads the answers
	 * @param overage what a cold server may receive
	 */
	public ServerLimits(ColdStartLimiter coldStart, WarmthChecks warmthChecks, ServerNotices notices,
			BackendProtocol protocol, MeshSettings.ColdOverage overage) {
		this.coldStart = coldStart;
		this.warmthChecks = warmthChecks;
		this.notices = notices;
		this.protocol = protocol;
		this.overage = overage;
	}

	/**
	 * Returns the limit of starting requests.
	 * @return both limits together
	 */
	public StartLimit startLimit() {
		return new CombinedStartLimit(this.coldStart, this.notices.limit());
	}

	/**
	 * Applies the configured rate of cold servers.
	 * @param rule the rule; empty if the service's servers have no cold phase
	 */
	public void applyColdRule(Optional<ServiceRule.ColdStart> rule) {
		double factor = this.overage.factor();
		rule.filter((each) -> factor > 0)
			.ifPresentOrElse((each) -> this.coldStart.limit(each.perSecond() * factor + this.overage.slack()),
					this.coldStart::unlimited);
	}

	/**
	 * Sends a health check if the server may have become cold unnoticed.
	 * @param rule the rule of cold servers
	 * @param server the server whose answer counts
	 * @param now the current time, nanoseconds of the steady clock
	 * @param onAnswered called once the result is known
	 */
	public void checkWarmth(ServiceRule.ColdStart rule, BackendIncarnation server, long now, Runnable onAnswered) {
		this.warmthChecks.sendIfDue(rule.healthPath(), server, now, onAnswered);
	}

	/**
	 * Applies what a reply of the server states.
	 * @param sent the request that was sent
	 * @param sentNanos when it was sent, nanoseconds of the steady clock
	 * @param reply the reply
	 */
	public void onReply(BackendRequest sent, long sentNanos, BackendReply reply) {
		if (reply instanceof BackendReply.Whole(var answer)) {
			this.protocol.notice(sent, answer)
				.ifPresent((notice) -> this.notices.onAnswer(notice, sent.incarnation(), sentNanos));
		}
		else if (reply instanceof BackendReply.Closed) {
			this.notices.onServerEnded();
		}
	}

	/**
	 * Records that another process of the server has started. It has named no limit.
	 */
	public void onServerReplaced() {
		this.notices.onServerEnded();
	}

	/**
	 * Records that a request was refused for lack of capacity.
	 */
	public void onRefused() {
		this.notices.onRefused();
	}

	/**
	 * Limits a capacity to the rate that the server has named for some time.
	 * @param perSecond the capacity without a limit, in requests per second
	 * @return the capacity within the limit, in requests per second
	 */
	public double lastingCapacity(double perSecond) {
		return Math.min(perSecond, this.notices.limit().lastingPerSecond(System.nanoTime()).orElse(perSecond));
	}

}
