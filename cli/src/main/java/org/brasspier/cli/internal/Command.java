package org.brasspier.cli.internal;

import io.vavr.control.Either;
import org.brasspier.wire.operator.ErrorAnswer;

/**
 * A command of the command-line tool.
 */
interface Command {

	/**
	 * Runs the command.
	 * @param session client, terminal and draft file of this invocation
	 * @return the result, or the error
	 */
	Either<ErrorAnswer, Report> run(Session session);

}
