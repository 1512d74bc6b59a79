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
 * Ends the drain of an instance, which can then own ranges again.
 */
@Parameters(commandDescription = "end the drain of an instance, so that it can own ranges again")
final class UndrainCommand implements Command {

	@Parameter(description = "INSTANCE")
	private List<String> operands = new ArrayList<>();

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		if (this.operands.size() != 1) {
			return Session.badRequest("name one instance: undrain INSTANCE");
		}
		return session.client()
			.post("/v1/undrain", new OrderRequest(this.operands.getFirst(), "", "", false), OrderAnswer.class, true)
			.map((answer) -> Report.of(answer, answer.result()));
	}

}
