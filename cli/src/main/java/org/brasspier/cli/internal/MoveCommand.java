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
 * Moves one range to another instance.
 */
@Parameters(commandDescription = "move a range to an instance")
final class MoveCommand implements Command {

	private static final int OPERAND_COUNT = 3;

	@Parameter(description = "SERVICE RANGE INSTANCE\n\nRANGE as shown by `status --ranges`.")
	private List<String> operands = new ArrayList<>();

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		if (this.operands.size() != OPERAND_COUNT) {
			return Session.badRequest("name a service, a range and an instance: move SERVICE RANGE INSTANCE");
		}
		return session.client()
			.post("/v1/move", new OrderRequest(this.operands.get(2), this.operands.get(0), this.operands.get(1), false),
					OrderAnswer.class, false)
			.map((answer) -> Report.of(answer, answer.result()));
	}

}
