package org.brasspier.daemon.internal.ownership;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * The operators' orders. Thread-safe; each returns at once, and its future completes in
 * another thread, at the latest a few seconds later, with a sentence for the operator.
 */
public interface OwnershipOrders {

	/**
	 * Takes all ranges from an instance, gracefully, and gives it no more.
	 * @param instance the instance
	 * @return a sentence, or why not
	 */
	CompletableFuture<Either<Failure, String>> drain(InstanceId instance);

	/**
	 * Lets a drained instance own ranges again.
	 * @param instance the instance
	 * @return a sentence, or why not
	 */
	CompletableFuture<Either<Failure, String>> undrain(InstanceId instance);

	/**
	 * Moves one range.
	 * @param service the service
	 * @param range the range as it stands
	 * @param to who gets it
	 * @return a sentence once the move has begun, or why not
	 */
	CompletableFuture<Either<Failure, String>> move(ServiceName service, KeyRange range, InstanceId to);

	/**
	 * States that the present process of an instance is gone for good: what may not move
	 * while it might still be running moves now. Wrong use breaks sole ownership.
	 * @param instance the instance
	 * @return a sentence, or why not
	 */
	CompletableFuture<Either<Failure, String>> declareLost(InstanceId instance);

}
