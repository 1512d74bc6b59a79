package org.brasspier.cli.internal;

import java.util.Set;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.document.Document;
import org.brasspier.core.document.Draft;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.operator.CellAnswer;
import org.brasspier.wire.operator.DocumentAnswer;
import org.brasspier.wire.operator.ErrorAnswer;

/**
 * Context of one invocation that every command uses. Not thread-safe.
 *
 * @param client client of the daemons' operator ports
 * @param terminal the operator's terminal
 * @param draftFile file that stores the draft
 * @param jsonOutput whether results are printed as JSON
 */
record Session(OperatorClient client, Terminal terminal, DraftFile draftFile, boolean jsonOutput) {

	static <T> Either<ErrorAnswer, T> badRequest(String detail) {
		return Either.left(ErrorAnswer.of(Failure.of(ErrorKind.BAD_REQUEST, detail)));
	}

	/**
	 * Reads the document in force.
	 * @return the document, or the error
	 */
	Either<ErrorAnswer, DocumentAnswer> documentInForce() {
		return this.client.get("/v1/document", DocumentAnswer.class);
	}

	/**
	 * Returns the stored draft, or a new one based on the document in force.
	 * @return the draft, or the error
	 */
	Either<ErrorAnswer, Draft> storedOrNewDraft() {
		return this.draftFile.read()
			.<Either<ErrorAnswer, Draft>>map((storedDraft) -> Either.right(storedDraft.draft()))
			.orElseGet(() -> documentInForce().map((answer) -> Draft.from(answer.version(), toDocument(answer))));
	}

	static Document toDocument(DocumentAnswer answer) {
		return DocumentCodec.document(answer.fields());
	}

	/**
	 * Returns the operator ports of the daemons of the cell and of those given on the
	 * command line.
	 * @return addresses as IP:PORT
	 */
	Set<String> allDaemonAddresses() {
		Set<String> addresses = new TreeSet<>(this.client.daemons());
		this.client.get("/v1/cell", CellAnswer.class)
			.peek((cell) -> cell.members().forEach((member) -> addresses.add(member.operators())));
		return addresses;
	}

}
