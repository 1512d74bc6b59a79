package org.brasspier.cli.internal;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.OwnerAnswer;

/**
 * Shows the owner of a key.
 */
@Parameters(commandDescription = "show the owner of a key")
final class OwnerCommand implements Command {

	@Parameter(description = "SERVICE KEY")
	private List<String> operands = new ArrayList<>();

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		if (this.operands.size() != 2) {
			return Session.badRequest("name a service and a key: owner SERVICE KEY");
		}
		return session.client()
			.get("/v1/owner?service=%s&key=%s".formatted(urlEncode(this.operands.get(0)),
					urlEncode(this.operands.get(1))), OwnerAnswer.class)
			.map((answer) -> new Report(answer, new Table("SERVICE", "POINT", "RANGE", "OWNER", "FENCE", "CALLERS")
				.addRow(answer.service(), answer.point(), answer.range(),
						(answer.owner().isEmpty()) ? "(none)" : answer.owner(), answer.fence(), answer.callers())
				.lines()));
	}

	static String urlEncode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
