package org.brasspier.cli.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.core.document.DocumentDiff;
import org.brasspier.wire.operator.DocumentAnswer;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.HistoryAnswer;
import org.brasspier.wire.operator.StatusAnswer;

/**
 * Shows the versions of the configuration document.
 */
@Parameters(commandDescription = "show the configuration document in force and earlier versions")
final class ConfigCommand implements Command {

	@Parameter(description = """
			show [VERSION] | history | diff [OLD [NEW]] | status

			  show     all fields of a version (default: the version in force)
			  history  the latest versions, newest first
			  diff     changes from OLD to NEW (default: from the previous version to the one in force)
			  status   the version in force on each daemon""")
	private List<String> operands = new ArrayList<>();

	@Parameter(names = "--count", description = "number of latest versions to list or search, up to 100")
	private int count = 100;

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		String action = (this.operands.isEmpty()) ? "" : this.operands.getFirst();
		if (this.operands.stream().skip(1).anyMatch((operand) -> !operand.matches("[0-9]{1,18}"))) {
			return Session.badRequest("a version must be a whole number of at most 18 digits");
		}
		return switch (action) {
			case "show" -> fetchVersion(session, 1).map(ConfigCommand::versionReport);
			case "history" -> fetchHistory(session).map(ConfigCommand::historyReport);
			case "diff" -> diffReport(session);
			case "status" -> Either.right(daemonVersionsReport(session));
			default -> Session.badRequest("config needs one of show, history, diff or status");
		};
	}

	private Either<ErrorAnswer, HistoryAnswer> fetchHistory(Session session) {
		return session.client().get("/v1/document/history?count=" + this.count, HistoryAnswer.class);
	}

	private Either<ErrorAnswer, DocumentAnswer> fetchVersion(Session session, int operandIndex) {
		if (this.operands.size() <= operandIndex) {
			return session.documentInForce();
		}
		long versionNumber = Long.parseLong(this.operands.get(operandIndex));
		return fetchHistory(session).flatMap((history) -> findVersion(history, versionNumber));
	}

	private static Either<ErrorAnswer, DocumentAnswer> findVersion(HistoryAnswer history, long versionNumber) {
		if (versionNumber == 0) {
			return Either.right(DocumentAnswer.NONE);
		}
		Optional<DocumentAnswer> found = history.versions()
			.stream()
			.filter((version) -> version.version() == versionNumber)
			.findFirst();
		return found.<Either<ErrorAnswer, DocumentAnswer>>map(Either::right)
			.orElseGet(() -> Session.badRequest(
					"version %d is not among the latest %d".formatted(versionNumber, history.versions().size())));
	}

	private static Report versionReport(DocumentAnswer document) {
		List<String> lines = new ArrayList<>();
		lines.add("version %d".formatted(document.version()));
		Table table = new Table("PLACE", "VALUE");
		document.fields()
			.entrySet()
			.stream()
			.sorted(java.util.Map.Entry.comparingByKey())
			.forEach((entry) -> table.addRow(entry.getKey(), entry.getValue()));
		lines.addAll(table.lines());
		return new Report(document, lines);
	}

	private static Report historyReport(HistoryAnswer history) {
		Table table = new Table("VERSION", "SUBMITTED", "SUBMISSION", "FIELDS");
		history.versions()
			.forEach((version) -> table.addRow(version.version(), Instant.ofEpochMilli(version.submittedMillis()),
					version.submission(), version.fields().size()));
		return new Report(history, table.lines());
	}

	private Either<ErrorAnswer, Report> diffReport(Session session) {
		return fetchVersion(session, 2).flatMap((newer) -> fetchOlderVersion(session, newer).map((older) -> {
			DocumentDiff diff = DocumentDiff.between(Session.toDocument(older), Session.toDocument(newer));
			List<String> lines = new ArrayList<>();
			lines.add("version %d -> %d".formatted(older.version(), newer.version()));
			diff.differences().forEach((difference) -> lines.add("  " + difference));
			return new Report(Differences.of(diff), lines);
		}));
	}

	private Either<ErrorAnswer, DocumentAnswer> fetchOlderVersion(Session session, DocumentAnswer newer) {
		return (this.operands.size() > 1) ? fetchVersion(session, 1)
				: fetchHistory(session).flatMap((history) -> findVersion(history, Math.max(0, newer.version() - 1)));
	}

	private static Report daemonVersionsReport(Session session) {
		Table table = new Table("DAEMON", "INSTANCE", "VERSION");
		List<VersionOnDaemon> versions = new ArrayList<>();
		for (String daemon : session.allDaemonAddresses()) {
			Either<ErrorAnswer, StatusAnswer> status = session.client().get(daemon, "/v1/status", StatusAnswer.class);
			table.addRow(daemon, status.map(StatusAnswer::instance).getOrElse("(no answer)"),
					status.map((answer) -> Long.toString(answer.documentVersion())).getOrElse("?"));
			status.peek(
					(answer) -> versions.add(new VersionOnDaemon(daemon, answer.instance(), answer.documentVersion())));
		}
		return new Report(versions, table.lines());
	}

	/**
	 * JSON output: the version in force on a daemon.
	 *
	 * @param daemon address of the daemon's operator port
	 * @param instance instance that the daemon runs on
	 * @param version document version in force
	 */
	private record VersionOnDaemon(String daemon, String instance, long version) {

	}

}
