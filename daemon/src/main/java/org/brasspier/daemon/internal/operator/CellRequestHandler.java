package org.brasspier.daemon.internal.operator;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.ServiceName;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.ownership.CellView;
import org.brasspier.daemon.internal.request.GateView;
import org.brasspier.wire.operator.CellAnswer;
import org.brasspier.wire.operator.OwnerAnswer;
import org.brasspier.wire.operator.StatusAnswer;

/**
 * Handles requests for the state of this daemon and of its cell. Not thread-safe;
 * confined to the operators thread.
 */
final class CellRequestHandler {

	/** Sent as the time since the last message from a member if it is not known. */
	private static final long TIME_UNKNOWN = -1;

	private final DaemonContext context;

	private final Supplier<OwnershipSnapshot> ownershipSnapshot;

	private final Supplier<CellView> cellView;

	private final Supplier<GateView> gateView;

	CellRequestHandler(DaemonContext context, Supplier<OwnershipSnapshot> ownershipSnapshot,
			Supplier<CellView> cellView, Supplier<GateView> gateView) {
		this.gateView = gateView;
		this.context = context;
		this.ownershipSnapshot = ownershipSnapshot;
		this.cellView = cellView;
	}

	Promise<HttpResponse> status(HttpRequest request) {
		OwnershipSnapshot snapshot = this.ownershipSnapshot.get();
		CellView view = this.cellView.get();
		long nowNanos = System.nanoTime();
		boolean leaseValid = snapshot.isLeaseValid(nowNanos);
		long rangesHeld = view.ranges()
			.stream()
			.map(CellView.Range::service)
			.distinct()
			.mapToLong((service) -> snapshot.held().assignments(service).size())
			.sum();
		return Promise.of(JsonResponses.ok(new StatusAnswer(snapshot.self().value(),
				this.context.settings().failureDomain().value(), this.context.settings().cell(),
				this.context.documents().inForce().version(), this.context.documents().inForce().known(),
				(leaseValid) ? TimeUnit.NANOSECONDS.toMillis(snapshot.leaseEndNanos() - nowNanos) : 0,
				(int) ((leaseValid) ? rangesHeld : 0), this.context.events().totalLostEvents(),
				this.gateView.get().classes().stream().map(CellRequestHandler::render).toList())));
	}

	private static StatusAnswer.ClassLoad render(GateView.Load load) {
		return new StatusAnswer.ClassLoad(load.requestClass().name().toLowerCase(Locale.ROOT), load.running(),
				load.waiting());
	}

	Promise<HttpResponse> cell(HttpRequest request) {
		CellView view = this.cellView.get();
		return Promise.of(JsonResponses.ok(new CellAnswer(this.context.settings().cell(), view.version(), view.epoch(),
				textOrEmpty(view.primary()), textOrEmpty(view.secondary()),
				view.members().stream().map(CellRequestHandler::render).toList(),
				view.ranges().stream().map(CellRequestHandler::render).toList(),
				view.moves().stream().map(CellRequestHandler::render).toList())));
	}

	private static String textOrEmpty(Optional<InstanceId> instance) {
		return instance.map(InstanceId::value).orElse("");
	}

	private static CellAnswer.Member render(CellView.Member member) {
		PeerAddress address = member.address();
		return new CellAnswer.Member(member.instance().value(), member.domain().value(),
				member.service().map(ServiceName::value).orElse(""), member.phase(), member.slots(),
				member.checksFences(), address.host() + ":" + address.callerPort(),
				address.host() + ":" + address.operatorPort(), member.heardMillisAgo().orElse(TIME_UNKNOWN));
	}

	private static CellAnswer.Range render(CellView.Range range) {
		return new CellAnswer.Range(range.service().value(), range.range().toString(), textOrEmpty(range.owner()),
				range.fence().value());
	}

	private static CellAnswer.Move render(CellView.Move move) {
		return new CellAnswer.Move(move.service().value(), move.range().toString(), move.to().value(), move.released());
	}

	Promise<HttpResponse> owner(HttpRequest request) {
		QueryParameters query = QueryParameters.of(request);
		ServiceName service = new ServiceName(query.requiredText("service"));
		KeyHash hash = KeyHash.of(query.requiredText("key"));
		OwnershipSnapshot snapshot = this.ownershipSnapshot.get();
		Optional<Assignment> found = snapshot.routes().find(service, hash);
		return Promise.of(JsonResponses.ok(new OwnerAnswer(service.value(), "%08x".formatted(hash.point()),
				found.map((assignment) -> assignment.range().toString()).orElse(""),
				found.map((assignment) -> assignment.owner().value()).orElse(""),
				found.map((assignment) -> assignment.fence().value()).orElse(0L),
				found.flatMap((assignment) -> snapshot.addresses().find(assignment.owner()))
					.map((address) -> address.host() + ":" + address.callerPort())
					.orElse(""))));
	}

}
