package org.brasspier.daemon.internal.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.ControlMessage.Order;
import org.brasspier.core.ownership.OwnershipAction;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;

/**
 * Passes operators' orders to the primary and its answers back. An order whose answer
 * does not come in time fails with an unknown outcome; repeating it does no harm. Giving
 * orders is thread-safe, all else belongs to the thread of ownership.
 */
final class OrderTracker implements OwnershipOrders {

	private static final int CAPACITY = 64;

	private static final Duration PATIENCE = Duration.ofSeconds(5);

	private final Ring<Given> ring;

	private final Sender sender;

	private final AtomicLong nextNumber = new AtomicLong(1);

	private final Map<Long, CompletableFuture<Either<Failure, String>>> waiting = new HashMap<>();

	/**
	 * Creates an empty book.
	 * @param duty the duty of ownership
	 * @param sender called in its thread for each order
	 */
	OrderTracker(Duty duty, Sender sender) {
		this.ring = new Ring<>(CAPACITY, duty, this::send);
		this.sender = sender;
	}

	@Override
	public CompletableFuture<Either<Failure, String>> drain(InstanceId instance) {
		return give(new Order.Drain(instance, true));
	}

	@Override
	public CompletableFuture<Either<Failure, String>> undrain(InstanceId instance) {
		return give(new Order.Drain(instance, false));
	}

	@Override
	public CompletableFuture<Either<Failure, String>> move(ServiceName service, KeyRange range, InstanceId to) {
		return give(new Order.Move(service, range, to));
	}

	@Override
	public CompletableFuture<Either<Failure, String>> declareLost(InstanceId instance) {
		return give(new Order.DeclareLost(instance));
	}

	private CompletableFuture<Either<Failure, String>> give(Order order) {
		CompletableFuture<Either<Failure, String>> answer = new CompletableFuture<>();
		if (!this.ring.offer(new Given(this.nextNumber.getAndIncrement(), order, answer))) {
			answer.complete(Either.left(Failure.of(ErrorKind.OVERLOADED, "too many orders are waiting")));
		}
		return answer.completeOnTimeout(
				Either.left(Failure.of(ErrorKind.TIMED_OUT, "the primary lease manager did not answer")),
				PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void send(Given given) {
		this.waiting.values().removeIf(CompletableFuture::isDone);
		this.waiting.put(given.number(), given.answer());
		this.sender.send(given.number(), given.order());
	}

	void onOrderDone(OwnershipAction.OrderDone done) {
		CompletableFuture<Either<Failure, String>> answer = this.waiting.remove(done.number());
		if (answer != null) {
			answer.complete((done.accepted()) ? Either.right(done.detail())
					: Either.left(Failure.of(ErrorKind.ORDER_REFUSED, done.detail())));
		}
	}

	/**
	 * Sends an order on its way.
	 */
	interface Sender {

		/**
		 * Sends an order.
		 * @param number the number that its answer carries
		 * @param order the order
		 */
		void send(long number, Order order);

	}

	/**
	 * An order as it was given.
	 *
	 * @param number its number
	 * @param order the order
	 * @param answer completed with its answer
	 */
	private record Given(long number, Order order, CompletableFuture<Either<Failure, String>> answer) {

	}

}
