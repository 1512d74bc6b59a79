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
 * @param drafts file that stores the draft
 * @param json whether results are printed as JSON
 */
record Session(OperatorClient client, Terminal terminal, DraftFile drafts, boolean json) {

	static <T> Either<ErrorAnswer, T> refuse(String detail) {
		return Either.left(ErrorAnswer.of(Failure.of(ErrorKind.BAD_REQUEST, detail)));
	}

	/**
	 * Reads the document in force.
	 * @return the document, or the error
	 */
	Either<ErrorAnswer, DocumentAnswer> inForce() {
		return this.client.get("/v1/document", DocumentAnswer.class);
	}

	/**
	 * Returns the stored draft, or a new one based on the document in force.
	 * @return the draft, or the error
	 */
	Either<ErrorAnswer, Draft> draft() {
		return this.drafts.read()
			.<Either<ErrorAnswer, Draft>>map((kept) -> Either.right(kept.draft()))
			.orElseGet(() -> inForce().map((answer) -> Draft.from(answer.version(), document(answer))));
	}

	static Document document(DocumentAnswer answer) {
		return DocumentCodec.document(answer.fields());
	}

	/**
	 * Returns the operator ports of the daemons of the cell and of those given on the
	 * command line.
	 * @return addresses as IP:PORT
	 */
	Set<String> allDaemons() {
		Set<String> all = new TreeSet<>(this.client.daemons());
		this.client.get("/v1/cell", CellAnswer.class)
			.peek((cell) -> cell.members().forEach((member) -> all.add(member.operators())));
		return all;
	}

}
