package org.brasspier.daemon.internal.operator;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.ownership.OwnershipOrders;
import org.brasspier.wire.operator.OperatorJson;
import org.brasspier.wire.operator.OrderAnswer;
import org.brasspier.wire.operator.OrderRequest;

/**
 * Handles the operators' orders about ownership. Not thread-safe; confined to the
 * operators thread.
 */
final class OrderRequestHandler {

	private static final int MAX_BODY_BYTES = 4096;

	private final OwnershipOrders orders;

	private final EventLog events;

	OrderRequestHandler(OwnershipOrders orders, EventLog events) {
		this.orders = orders;
		this.events = events;
	}

	Promise<HttpResponse> drain(HttpRequest request) {
		return execute(request, "drain", (orders, order) -> orders.drain(new InstanceId(order.instance())));
	}

	Promise<HttpResponse> undrain(HttpRequest request) {
		return execute(request, "undrain", (orders, order) -> orders.undrain(new InstanceId(order.instance())));
	}

	Promise<HttpResponse> move(HttpRequest request) {
		return execute(request, "move", (orders, order) -> orders.move(new ServiceName(order.service()),
				KeyRangeParser.parse(order.range()), new InstanceId(order.instance())));
	}

	Promise<HttpResponse> declareLost(HttpRequest request) {
		return execute(request, "declare-lost", (orders, order) -> (order
			.confirmed()) ? orders.declareLost(new InstanceId(order.instance())) : refusal(ErrorKind.BAD_REQUEST,
					"declare-lost breaks sole ownership if the instance still runs, so it must be confirmed (see TROUBLESHOOTING.md#declare-lost)"));
	}

	private static CompletableFuture<Either<Failure, String>> refusal(ErrorKind kind, String detail) {
		return CompletableFuture.completedFuture(Either.left(Failure.of(kind, detail)));
	}

	private Promise<HttpResponse> execute(HttpRequest request, String name,
			BiFunction<OwnershipOrders, OrderRequest, CompletableFuture<Either<Failure, String>>> action) {
		return request.loadBody(MAX_BODY_BYTES)
			.map((body) -> OperatorJson.read(body.getString(StandardCharsets.UTF_8), OrderRequest.class))
			.then((parsed) -> {
				if (parsed.isLeft()) {
					return Promise.of(JsonResponses.error(parsed.getLeft()));
				}
				OrderRequest order = parsed.get();
				this.events.record(EventKind.OPERATOR_ORDER, new InstanceId(order.instance()),
						"%s %s %s".formatted(name, order.service(), order.range()).strip());
				return Promise.ofCompletionStage(action.apply(this.orders, order))
					.map((outcome) -> outcome.fold(JsonResponses::error,
							(result) -> JsonResponses.ok(new OrderAnswer(result))));
			});
	}

}
