package org.brasspier.daemon.internal.request;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToIntFunction;

import org.brasspier.core.RequestClass;

/**
 * The load of the gate, which is this daemon's admission control in front of its backend
 * server, as shown to operators. Immutable and thread-safe.
 *
 * @param classes one entry for each class of request
 */
public record GateView(List<GateView.Load> classes) {

	/** Nothing was published yet. */
	public static final GateView IDLE = of((requestClass) -> 0, (requestClass) -> 0);

	/**
	 * Copies the list.
	 */
	public GateView {
		classes = List.copyOf(classes);
	}

	static GateView of(ToIntFunction<RequestClass> running, ToIntFunction<RequestClass> waiting) {
		return new GateView(Arrays.stream(RequestClass.values())
			.map((requestClass) -> new Load(requestClass, running.applyAsInt(requestClass),
					waiting.applyAsInt(requestClass)))
			.toList());
	}

	/**
	 * The requests of one class.
	 *
	 * @param requestClass the class
	 * @param running how many hold a slot
	 * @param waiting how many wait for one
	 */
	public record Load(RequestClass requestClass, int running, int waiting) {

	}

}
