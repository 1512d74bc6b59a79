package org.brasspier.daemon.internal.ownership;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * Executes operators' orders. Thread-safe. The methods do not block; the futures complete
 * in another thread within a few seconds, with a sentence for the operator.
 */
public interface OwnershipOrders {

	/**
	 * Moves all ranges away from an instance gracefully and assigns no more ranges to it.
	 * @param instance the instance
	 * @return a sentence, or the reason of the refusal
	 */
	CompletableFuture<Either<Failure, String>> drain(InstanceId instance);

	/**
	 * Allows a drained instance to own ranges again.
	 * @param instance the instance
	 * @return a sentence, or the reason of the refusal
	 */
	CompletableFuture<Either<Failure, String>> undrain(InstanceId instance);

	/**
	 * Moves one range.
	 * @param service the service
	 * @param range the range, with its current bounds
	 * @param to the next owner
	 * @return a sentence once the move has started, or the reason of the refusal
	 */
	CompletableFuture<Either<Failure, String>> move(ServiceName service, KeyRange range, InstanceId to);

	/**
	 * Declares that the current process of an instance has ended for good, so that ranges
	 * that could not move while it might still be running move now. If the process is
	 * still running, this breaks exclusive ownership.
	 * @param instance the instance
	 * @return a sentence, or the reason of the refusal
	 */
	CompletableFuture<Either<Failure, String>> declareLost(InstanceId instance);

}
