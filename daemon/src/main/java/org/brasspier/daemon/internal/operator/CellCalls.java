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
 * What this daemon knows of itself and its cell. Belongs to the thread of operators.
 */
final class CellCalls {

	private static final long NOT_HEARD = -1;

	private final DaemonContext context;

	private final Supplier<OwnershipSnapshot> ownership;

	private final Supplier<CellView> cell;

	private final Supplier<GateView> gate;

	CellCalls(DaemonContext context, Supplier<OwnershipSnapshot> ownership, Supplier<CellView> cell,
			Supplier<GateView> gate) {
		this.gate = gate;
		this.context = context;
		this.ownership = ownership;
		this.cell = cell;
	}

	Promise<HttpResponse> status(HttpRequest request) {
		OwnershipSnapshot snapshot = this.ownership.get();
		CellView view = this.cell.get();
		long now = System.nanoTime();
		boolean valid = snapshot.isLeaseValid(now);
		long held = view.ranges()
			.stream()
			.map(CellView.Range::service)
			.distinct()
			.mapToLong((service) -> snapshot.held().assignments(service).size())
			.sum();
		return Promise.of(Answers.ok(new StatusAnswer(snapshot.self().value(),
				this.context.settings().failureDomain().value(), this.context.settings().cell(),
				this.context.documents().inForce().version(), this.context.documents().inForce().known(),
				(valid) ? TimeUnit.NANOSECONDS.toMillis(snapshot.leaseEndNanos() - now) : 0, (int) ((valid) ? held : 0),
				this.context.events().totalLostEvents(),
				this.gate.get().classes().stream().map(CellCalls::render).toList())));
	}

	private static StatusAnswer.ClassLoad render(GateView.Load load) {
		return new StatusAnswer.ClassLoad(load.requestClass().name().toLowerCase(Locale.ROOT), load.running(),
				load.waiting());
	}

	Promise<HttpResponse> cell(HttpRequest request) {
		CellView view = this.cell.get();
		return Promise.of(Answers.ok(new CellAnswer(this.context.settings().cell(), view.version(), view.epoch(),
				text(view.primary()), text(view.secondary()), view.members().stream().map(CellCalls::render).toList(),
				view.ranges().stream().map(CellCalls::render).toList(),
				view.moves().stream().map(CellCalls::render).toList())));
	}

	private static String text(Optional<InstanceId> instance) {
		return instance.map(InstanceId::value).orElse("");
	}

	private static CellAnswer.Member render(CellView.Member member) {
		PeerAddress address = member.address();
		return new CellAnswer.Member(member.instance().value(), member.domain().value(),
				member.service().map(ServiceName::value).orElse(""), member.phase(), member.slots(),
				member.checksFences(), address.host() + ":" + address.callerPort(),
				address.host() + ":" + address.operatorPort(), member.heardMillisAgo().orElse(NOT_HEARD));
	}

	private static CellAnswer.Range render(CellView.Range range) {
		return new CellAnswer.Range(range.service().value(), range.range().toString(), text(range.owner()),
				range.fence().value());
	}

	private static CellAnswer.Move render(CellView.Move move) {
		return new CellAnswer.Move(move.service().value(), move.range().toString(), move.to().value(), move.released());
	}

	Promise<HttpResponse> owner(HttpRequest request) {
		Query query = Query.of(request);
		ServiceName service = new ServiceName(query.needed("service"));
		KeyHash hash = KeyHash.of(query.needed("key"));
		OwnershipSnapshot snapshot = this.ownership.get();
		Optional<Assignment> found = snapshot.routes().find(service, hash);
		return Promise.of(Answers.ok(new OwnerAnswer(service.value(), "%08x".formatted(hash.point()),
				found.map((assignment) -> assignment.range().toString()).orElse(""),
				found.map((assignment) -> assignment.owner().value()).orElse(""),
				found.map((assignment) -> assignment.fence().value()).orElse(0L),
				found.flatMap((assignment) -> snapshot.addresses().find(assignment.owner()))
					.map((address) -> address.host() + ":" + address.callerPort())
					.orElse(""))));
	}

}
