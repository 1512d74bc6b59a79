package org.brasspier.wire.operator;

/**
 * An operator's order. Fields that an order does not use are empty. Immutable and
 * thread-safe.
 *
 * @param instance the instance that the order applies to; for a move, the new owner
 * @param service the service, for a move
 * @param range the range, for a move
 * @param confirmed whether the operator has confirmed a dangerous order
 */
public record OrderRequest(String instance, String service, String range, boolean confirmed) {

	/**
	 * Rejects missing fields.
	 */
	public OrderRequest {
		OperatorJson.present(instance, "instance");
		OperatorJson.present(service, "service");
		OperatorJson.present(range, "range");
	}

}
