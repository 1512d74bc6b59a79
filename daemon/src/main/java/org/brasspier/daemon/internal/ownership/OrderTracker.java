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
 * Sends operators' orders to the primary lease manager and tracks them until they are
 * answered. An order that is not answered in time fails with {@code TIMED_OUT}; its
 * outcome is then unknown, and repeating it is safe. The methods of
 * {@link OwnershipOrders} are thread-safe; all others are used in the ownership thread
 * only.
 */
final class OrderTracker implements OwnershipOrders {

	private static final int CAPACITY = 64;

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

	private final Ring<Submitted> ring;

	private final Sender sender;

	private final AtomicLong nextNumber = new AtomicLong(1);

	private final Map<Long, CompletableFuture<Either<Failure, String>>> waiting = new HashMap<>();

	/**
	 * Creates a tracker without orders.
	 * @param duty the ownership thread
	 * @param sender called in that thread for each order
	 */
	OrderTracker(Duty duty, Sender sender) {
		this.ring = new Ring<>(CAPACITY, duty, this::send);
		this.sender = sender;
	}

	@Override
	public CompletableFuture<Either<Failure, String>> drain(InstanceId instance) {
		return submit(new Order.Drain(instance, true));
	}

	@Override
	public CompletableFuture<Either<Failure, String>> undrain(InstanceId instance) {
		return submit(new Order.Drain(instance, false));
	}

	@Override
	public CompletableFuture<Either<Failure, String>> move(ServiceName service, KeyRange range, InstanceId to) {
		return submit(new Order.Move(service, range, to));
	}

	@Override
	public CompletableFuture<Either<Failure, String>> declareLost(InstanceId instance) {
		return submit(new Order.DeclareLost(instance));
	}

	private CompletableFuture<Either<Failure, String>> submit(Order order) {
		CompletableFuture<Either<Failure, String>> answer = new CompletableFuture<>();
		if (!this.ring.offer(new Submitted(this.nextNumber.getAndIncrement(), order, answer))) {
			answer.complete(Either.left(Failure.of(ErrorKind.OVERLOADED, "too many orders are waiting")));
		}
		return answer.completeOnTimeout(
				Either.left(Failure.of(ErrorKind.TIMED_OUT, "the primary lease manager did not answer")),
				ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void send(Submitted submitted) {
		this.waiting.values().removeIf(CompletableFuture::isDone);
		this.waiting.put(submitted.number(), submitted.answer());
		this.sender.send(submitted.number(), submitted.order());
	}

	void onOrderDone(OwnershipAction.OrderDone done) {
		CompletableFuture<Either<Failure, String>> answer = this.waiting.remove(done.number());
		if (answer != null) {
			answer.complete((done.accepted()) ? Either.right(done.detail())
					: Either.left(Failure.of(ErrorKind.ORDER_REFUSED, done.detail())));
		}
	}

	/**
	 * Sends orders to the primary lease manager.
	 */
	interface Sender {

		/**
		 * Sends an order.
		 * @param number the number that identifies its answer
		 * @param order the order
		 */
		void send(long number, Order order);

	}

	/**
	 * An order that was submitted.
	 *
	 * @param number the number that identifies its answer
	 * @param order the order
	 * @param answer completed with the answer
	 */
	private record Submitted(long number, Order order, CompletableFuture<Either<Failure, String>> answer) {

	}

}
