package org.brasspier.cli.internal;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.MeasuresAnswer;

/**
 * Shows imbalance, churn and unavailable time compared with the targets.
 */
@Parameters(commandDescription = "compare imbalance, churn and unavailable time with the targets")
final class MeasuresCommand implements Command {

	@Parameter(names = "--from", description = "YYYY-MM-DD or YYYY-MM-DDTHH:MM:SSZ (default: the start of the quarter)")
	private String from = "";

	@Parameter(names = "--to", description = "same format as --from (default: now)")
	private String to = "";

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		try {
			return session.client()
				.get("/v1/measures?from=%s&to=%s".formatted(toEpochMillis(this.from), toEpochMillis(this.to)),
						MeasuresAnswer.class)
				.map(MeasuresCommand::measuresReport);
		}
		catch (DateTimeParseException ex) {
			return Session.badRequest(
					"\"%s\" is not a time such as 2026-10-01 or 2026-10-01T06:00:00Z".formatted(ex.getParsedString()));
		}
	}

	private static String toEpochMillis(String text) {
		if (text.isEmpty()) {
			return "";
		}
		Instant instant = (text.contains("T")) ? Instant.parse(text)
				: LocalDate.parse(text).atStartOfDay(ZoneOffset.UTC).toInstant();
		return Long.toString(instant.toEpochMilli());
	}

	private static Report measuresReport(MeasuresAnswer answer) {
		List<String> lines = new ArrayList<>();
		lines.add("cell %s, %s to %s, kept until %s".formatted(answer.cell(), Instant.ofEpochMilli(answer.fromMillis()),
				Instant.ofEpochMilli(answer.toMillis()), Instant.ofEpochMilli(answer.keptUntilMillis())));
		Table table = new Table("SERVICE", "REQUESTS", "TURNED AWAY", "IMBALANCE", "TARGET", "CHURN %/DAY", "TARGET",
				"UNAVAILABLE S/DAY", "TARGET", "MET");
		answer.services()
			.forEach((service) -> table.addRow(service.service(), service.requests(), service.turnedAway(),
					formatNumber(service.imbalanceRatio()), formatNumber(service.imbalanceTarget()),
					formatNumber(service.churnPercentADay()), formatNumber(service.churnTarget()),
					formatNumber(service.unavailableSecondsADay()), formatNumber(service.unavailableTarget()),
					(service.met()) ? "yes" : "NO"));
		lines.addAll(table.lines());
		return new Report(answer, lines);
	}

	private static String formatNumber(double value) {
		return String.format(Locale.ROOT, "%.2f", value);
	}

}
