package org.brasspier.cli.internal;

import io.vavr.control.Either;
import org.brasspier.wire.operator.ErrorAnswer;

/**
 * One command of the tool.
 */
interface Command {

	/**
	 * Runs the command.
	 * @param session what every command needs
	 * @return what it found, or the error
	 */
	Either<ErrorAnswer, Report> run(Session session);

}
