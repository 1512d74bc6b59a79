package org.brasspier.standins;

/**
 * The loss of an instance without warning. Immutable and thread-safe.
 *
 * @param server the name of its server
 * @param atMicros when, in microseconds since 1970
 */
public record InstanceLoss(String server, long atMicros) {

	/**
	 * Creates a loss at the present time.
	 * @param server the name of its server
	 * @return the loss
	 */
	public static InstanceLoss now(String server) {
		return new InstanceLoss(server, ServerHistory.nowMicros());
	}

}
