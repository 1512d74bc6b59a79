package org.brasspier.cli.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.document.DocumentDiff;
import org.brasspier.core.document.Draft;
import org.brasspier.core.document.Fault;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.operator.DocumentAnswer;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.FaultsAnswer;
import org.brasspier.wire.operator.SubmitAnswer;
import org.brasspier.wire.operator.SubmitRequest;

/**
 * Shows, checks, submits, rebases or discards the draft.
 */
@Parameters(commandDescription = "show, check, submit, rebase or discard the draft that `form` fills in")
final class DraftCommand implements Command {

	@Parameter(description = """
			show|check|submit|rebase|discard

			  show     the changes in the draft and the version it is based on
			  check    all faults of the complete document, each with its remedy
			  submit   put the draft into force, if the version it is based on is still in force
			  rebase   move its changes onto the version in force, after a conflict
			  discard  delete the draft""")
	private List<String> operands = new ArrayList<>();

	@Parameter(names = "--no-wait", description = "don't wait until the version is in force on every daemon")
	private boolean noWait;

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		String action = (this.operands.size() == 1) ? this.operands.getFirst() : "";
		Optional<DraftFile.StoredDraft> storedDraft = session.draftFile().read();
		if (storedDraft.isEmpty() && Stream.of("check", "submit", "rebase").anyMatch(action::equals)) {
			return Session.badRequest("no draft exists: fill in a form first (see TROUBLESHOOTING.md#draft-file)");
		}
		return switch (action) {
			case "show" -> session.storedOrNewDraft().map(DraftCommand::draftReport);
			case "check" -> check(session, storedDraft.orElseThrow());
			case "submit" -> submit(session, storedDraft.orElseThrow());
			case "rebase" ->
				session.documentInForce().map((current) -> rebase(session, storedDraft.orElseThrow().draft(), current));
			case "discard" ->
				Either.right(Report.of(new DiscardMessage(session.draftFile().delete()), "the draft is discarded"));
			default -> Session.badRequest("draft needs one of show, check, submit, rebase or discard");
		};
	}

	private static Report draftReport(Draft draft) {
		DocumentDiff diff = DocumentDiff.between(draft.base(), draft.document());
		List<String> lines = new ArrayList<>();
		lines.add("draft based on version %d, %d changes".formatted(draft.baseVersion(), diff.differences().size()));
		diff.differences().forEach((difference) -> lines.add("  " + difference));
		return new Report(new DraftMessage(draft.baseVersion(), Differences.of(diff)), lines);
	}

	private static Either<ErrorAnswer, Report> check(Session session, DraftFile.StoredDraft storedDraft) {
		return session.client()
			.post("/v1/document/check", submitRequest(storedDraft), FaultsAnswer.class, true)
			.flatMap((answer) -> (answer.faults().isEmpty()) ? Either.right(Report.of(answer, "the document is valid"))
					: Either.left(ErrorAnswer.of(org.brasspier.core.Failure.of(ErrorKind.DOCUMENT_INVALID,
							"the document has %d faults (see TROUBLESHOOTING.md#document-invalid)"
								.formatted(answer.faults().size())))
						.withFaults(answer.faults())));
	}

	private static SubmitRequest submitRequest(DraftFile.StoredDraft storedDraft) {
		return new SubmitRequest(storedDraft.draft().baseVersion(), storedDraft.submission(),
				DocumentCodec.fields(storedDraft.draft().document()));
	}

	private Either<ErrorAnswer, Report> submit(Session session, DraftFile.StoredDraft storedDraft) {
		Either<ErrorAnswer, SubmitAnswer> answer = session.client()
			.post("/v1/document", submitRequest(storedDraft), SubmitAnswer.class, true);
		answer.peekLeft((error) -> Optional.ofNullable(error.present())
			.ifPresent((current) -> offerRebase(session, storedDraft.draft(), current)));
		return answer.flatMap((accepted) -> {
			session.draftFile().delete();
			session.terminal().printProgress("accepted as version " + accepted.version());
			return (this.noWait) ? Either.right(Report.of(accepted, "version " + accepted.version()))
					: new InForceWaiter(session).await(accepted);
		});
	}

	private static void offerRebase(Session session, Draft draft, DocumentAnswer current) {
		Terminal terminal = session.terminal();
		terminal.printProgress("version %d is in force, but the draft is based on version %d; changed since then:"
			.formatted(current.version(), draft.baseVersion()));
		DocumentDiff.between(draft.base(), Session.toDocument(current))
			.differences()
			.forEach((difference) -> terminal.printProgress("  " + difference));
		if (terminal.confirm("Rebase the draft onto version %d?".formatted(current.version()))) {
			rebase(session, draft, current).lines().forEach(terminal::printProgress);
			terminal.printProgress("Review the draft with `brasspier draft show`, then submit it again.");
		}
		else {
			terminal.printProgress("To rebase the draft onto this version, run `brasspier draft rebase`.");
		}
	}

	private static Report rebase(Session session, Draft draft, DocumentAnswer current) {
		Draft.Rebased rebased = draft.rebase(current.version(), Session.toDocument(current));
		session.draftFile().write(rebased.draft());
		List<String> lines = new ArrayList<>();
		lines.add("the draft is on version %d now, with %d changes".formatted(current.version(),
				rebased.draft().changes().size()));
		rebased.overlaps()
			.forEach((overlap) -> lines.add("  both changed %s; the draft's value is kept".formatted(overlap)));
		return new Report(new RebaseMessage(current.version(), Differences.of(new DocumentDiff(rebased.overlaps()))),
				lines);
	}

	static List<String> faultTable(List<Fault> faults) {
		if (faults.isEmpty()) {
			return List.of();
		}
		Table table = new Table("PLACE", "VALUE", "REMEDY");
		faults.forEach((fault) -> table.addRow(fault.place(), fault.value(), fault.remedy()));
		return table.lines();
	}

	/**
	 * JSON output: the draft.
	 *
	 * @param baseVersion version of the document that the draft is based on
	 * @param changes changes of the draft against its base
	 */
	private record DraftMessage(long baseVersion, List<Differences.Entry> changes) {

	}

	/**
	 * JSON output: a rebased draft.
	 *
	 * @param baseVersion version of the document that the draft is based on now
	 * @param overlaps fields changed both by the draft and in the document
	 */
	private record RebaseMessage(long baseVersion, List<Differences.Entry> overlaps) {

	}

	/**
	 * JSON output: result of discarding the draft.
	 *
	 * @param discarded whether a draft file existed
	 */
	private record DiscardMessage(boolean discarded) {

	}

}
