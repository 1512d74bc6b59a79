package org.brasspier.wire.operator;

/**
 * An operator's order. Fields that an order has no use for are empty. Immutable and
 * thread-safe.
 *
 * @param instance the instance it concerns; for a move, who gets the range
 * @param service the service, for a move
 * @param range the range, for a move
 * @param confirmed whether the operator has confirmed the danger
 */
public record OrderRequest(String instance, String service, String range, boolean confirmed) {

	/**
	 * Checks that nothing is missing.
	 */
	public OrderRequest {
		OperatorJson.present(instance, "instance");
		OperatorJson.present(service, "service");
		OperatorJson.present(range, "range");
	}

}
