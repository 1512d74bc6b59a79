package org.brasspier.daemon.internal.exchange;

import java.util.function.Predicate;

import org.brasspier.core.request.Answer;
import org.brasspier.daemon.mesh.AnswerIdentity;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Decides by its head what a message of the backend server is for the exchange in
 * progress. Stateless and thread-safe.
 */
public final class AnswerClassifier {

	private static final int FIRST_STATUS = 100;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int SUCCESS_END = 300;

	private AnswerClassifier() {
	}

	/**
	 * Returns what a message is.
	 * @param call the call in progress
	 * @param head the head of the message
	 * @param carriedBefore whether the connection carried the request with an id before
	 * this call
	 * @return what it is
	 */
	public static ReceivedAnswer classify(ServerCall call, AnswerHead head, Predicate<String> carriedBefore) {
		int status = head.status();
		AnswerIdentity identity = call.identities().apply(head.headers());
		if (head.version() != HttpVersion.HTTP_1_1 && head.version() != HttpVersion.HTTP_1_0) {
			return new ReceivedAnswer.Refused(AnswerRefusal.VERSION);
		}
		if (status < FIRST_STATUS || status >= Answer.STATUS_END) {
			return new ReceivedAnswer.Refused(AnswerRefusal.STATUS);
		}
		if (status < Answer.FIRST_FINAL_STATUS) {
			return interim(head, identity);
		}
		if (identity.requestIds().size() > 1) {
			return new ReceivedAnswer.Refused(AnswerRefusal.SEVERAL_REQUESTS);
		}
		return identity.requestIds().isEmpty() ? unnamed(call, head) : named(call, head, identity, carriedBefore);
	}

	private static ReceivedAnswer interim(AnswerHead head, AnswerIdentity identity) {
		if (head.status() == SWITCHING_PROTOCOLS) {
			return new ReceivedAnswer.Refused(AnswerRefusal.UPGRADE);
		}
		return (head.statesBody() || !identity.isEmpty()) ? new ReceivedAnswer.Refused(AnswerRefusal.INTERIM)
				: new ReceivedAnswer.Interim();
	}

	private static ReceivedAnswer unnamed(ServerCall call, AnswerHead head) {
		if (call.id().isPresent()) {
			return new ReceivedAnswer.Refused(AnswerRefusal.UNNAMED);
		}
		return call.ownIfUnnamed().test(head.withoutBody()) ? new ReceivedAnswer.Final()
				: new ReceivedAnswer.Refused(AnswerRefusal.OTHER_SERVER);
	}

	private static ReceivedAnswer named(ServerCall call, AnswerHead head, AnswerIdentity identity,
			Predicate<String> carriedBefore) {
		String id = identity.requestIds().getFirst();
		if (call.id().filter(id::equals).isEmpty()) {
			return carriedBefore.test(id) ? new ReceivedAnswer.LateCopy(id)
					: new ReceivedAnswer.Refused(AnswerRefusal.FOREIGN);
		}
		boolean success = head.status() < SUCCESS_END;
		return (success && identity.stamps().size() != 1) ? new ReceivedAnswer.Refused(AnswerRefusal.UNSTAMPED)
				: new ReceivedAnswer.Final();
	}

}
