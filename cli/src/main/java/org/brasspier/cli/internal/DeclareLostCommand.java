package org.brasspier.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.OrderAnswer;
import org.brasspier.wire.operator.OrderRequest;

/**
 * Declares an instance permanently lost.
 */
@Parameters(commandDescription = "state that an instance is gone for good (dangerous: asks first)")
final class DeclareLostCommand implements Command {

	@Parameter(description = "INSTANCE")
	private List<String> operands = new ArrayList<>();

	@Parameter(names = "--yes", description = "confirm the danger without being asked")
	private boolean yes;

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		if (this.operands.size() != 1) {
			return Session.badRequest("name one instance: declare-lost INSTANCE");
		}
		String instance = this.operands.getFirst();
		session.terminal()
			.printProgress("DANGER: what %s owned moves at once. If its daemon or backend server still runs anywhere, "
				.formatted(instance)
					+ "two servers may own the same keys: bookings may run twice. Make sure that both are gone for good.");
		if (!this.yes && !session.terminal().confirm("Is %s gone for good?".formatted(instance))) {
			return Session.badRequest("not confirmed; nothing was done (see TROUBLESHOOTING.md#declare-lost)");
		}
		return session.client()
			.post("/v1/declare-lost", new OrderRequest(instance, "", "", true), OrderAnswer.class, true)
			.map((answer) -> Report.of(answer, answer.result()));
	}

}
