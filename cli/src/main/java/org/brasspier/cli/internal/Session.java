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
 * What every command needs. Not thread-safe.
 *
 * @param client the way to the daemons
 * @param terminal where the operator sits
 * @param drafts keeps the draft
 * @param json whether results are for programs
 */
record Session(OperatorClient client, Terminal terminal, DraftFile drafts, boolean json) {

	static <T> Either<ErrorAnswer, T> refuse(String detail) {
		return Either.left(ErrorAnswer.of(Failure.of(ErrorKind.BAD_REQUEST, detail)));
	}

	/**
	 * The document in force.
	 * @return the document, or why it can't be read
	 */
	Either<ErrorAnswer, DocumentAnswer> inForce() {
		return this.client.get("/v1/document", DocumentAnswer.class);
	}

	/**
	 * The draft that is kept, or a new one of the document in force.
	 * @return the draft, or why there is none
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
	 * The operator ports of all daemons: those of the cell, and those that were named.
	 * @return their addresses
	 */
	Set<String> allDaemons() {
		Set<String> all = new TreeSet<>(this.client.daemons());
		this.client.get("/v1/cell", CellAnswer.class)
			.peek((cell) -> cell.members().forEach((member) -> all.add(member.operators())));
		return all;
	}

}
