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
@Parameters(commandDescription = "declare an instance permanently lost (dangerous: asks for confirmation)")
final class DeclareLostCommand implements Command {

	@Parameter(description = "INSTANCE")
	private List<String> operands = new ArrayList<>();

	@Parameter(names = "--yes", description = "skip the confirmation prompt")
	private boolean yes;

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		if (this.operands.size() != 1) {
			return Session.badRequest("name one instance: declare-lost INSTANCE");
		}
		String instance = this.operands.getFirst();
		session.terminal()
			.printProgress(
					"DANGER: the ranges of %s are reassigned immediately. If its daemon or backend server still runs anywhere, "
						.formatted(instance)
							+ "two servers may own the same keys, and bookings may run twice. Make sure that both have stopped for good.");
		if (!this.yes && !session.terminal().confirm("Is %s permanently lost?".formatted(instance))) {
			return Session
				.badRequest("not confirmed; no instance was declared lost (see TROUBLESHOOTING.md#declare-lost)");
		}
		return session.client()
			.post("/v1/declare-lost", new OrderRequest(instance, "", "", true), OrderAnswer.class, true)
			.map((answer) -> Report.of(answer, answer.result()));
	}

}
