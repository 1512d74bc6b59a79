package org.brasspier.daemon.internal.exchange;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.AnswerIdentity;
import org.brasspier.daemon.mesh.RawRequest;
import org.eclipse.jetty.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class AnswerClassifierTests {

	private static final RawRequest REQUEST = new RawRequest("GET", "/", List.of(), new byte[0]);

	private static List<String> values(List<HeaderField> headers, String name) {
		return headers.stream().filter((field) -> field.name().equals(name)).map(HeaderField::value).toList();
	}

	private static AnswerIdentity identity(List<HeaderField> headers) {
		return new AnswerIdentity(values(headers, "id"), values(headers, "stamp"));
	}

	private static List<HeaderField> headers(@Nullable String ids, @Nullable String stamps) {
		return Stream.of(new String[] { "id", ids }, new String[] { "stamp", stamps })
			.filter((field) -> field[1] != null)
			.flatMap((field) -> Stream.of(field[1].split("\\+", -1)).map((value) -> new HeaderField(field[0], value)))
			.toList();
	}

	private static String describe(ReceivedAnswer received) {
		return switch (received) {
			case ReceivedAnswer.Refused(AnswerRefusal reason) -> reason.name();
			case ReceivedAnswer other -> other.getClass().getSimpleName();
		};
	}

	private static String classify(ServerCall call, int status, HttpVersion version, List<HeaderField> headers) {
		AnswerHead head = new AnswerHead(version, status, headers, false);
		return describe(AnswerClassifier.classify(call, head, "carried"::equals));
	}

	/**
	 * Guards against the answer to another request, or to none, that is taken for the own
	 * one or is waited behind.
	 */
	@ParameterizedTest
	@CsvSource({ "200,own,s,Final", "200,own,s+s,Final", "200,own,,UNSTAMPED", "200,own,'',UNSTAMPED",
			"200,own,s+t,UNSTAMPED", "299,own,,UNSTAMPED", "200,foreign,s,FOREIGN", "200,,s,UNNAMED",
			"200,carried,s,LateCopy", "200,carried,,LateCopy", "500,carried,s,LateCopy", "302,own,,Final",
			"503,own,,Final", "503,foreign,,FOREIGN", "503,,,UNNAMED", "500,own,s,Final", "500,'',s,UNNAMED",
			"500,,s,UNNAMED", "421,foreign,,FOREIGN", "421,,,UNNAMED", "500,own+foreign,s,SEVERAL_REQUESTS",
			"500,carried+own,s,SEVERAL_REQUESTS", "500,own+own,s,Final", "599,own,,Final", "600,own,s,STATUS",
			"600,carried,s,STATUS", "999,own,s,STATUS", "0,own,s,STATUS", "99,own,s,STATUS", "100,,,Interim",
			"103,,,Interim", "199,,,Interim", "103,own,,INTERIM", "103,,s,INTERIM", "101,,,UPGRADE" })
	void onlyAnInterimAnswerAndALateCopyMayComeBeforeTheOwnOne(int status, @Nullable String ids,
			@Nullable String stamps, String expected) {
		ServerCall call = ServerCall.withId(REQUEST, "own", true, AnswerClassifierTests::identity);
		assertThat(classify(call, status, HttpVersion.HTTP_1_1, headers(ids, stamps))).isEqualTo(expected);
	}

	/**
	 * Guards against a health check that takes the answer to a request, or to no check.
	 */
	@ParameterizedTest
	@CsvSource({ "200,,Final", "503,,OTHER_SERVER", "200,carried,LateCopy", "200,foreign,FOREIGN" })
	void aCallWithoutAnIdTakesNoAnswerThatNamesARequest(int status, @Nullable String id, String expected) {
		ServerCall call = ServerCall.withoutId(REQUEST, true, AnswerClassifierTests::identity,
				(answer) -> answer.status() == 200);
		assertThat(classify(call, status, HttpVersion.HTTP_1_1, headers(id, null))).isEqualTo(expected);
	}

	/** Guards against an answer of another protocol that is read as one of HTTP/1.1. */
	@ParameterizedTest
	@CsvSource({ "HTTP_0_9,VERSION", "HTTP_1_0,Final", "HTTP_1_1,Final", "HTTP_2,VERSION", "HTTP_3,VERSION" })
	void anAnswerHasVersionOneOfTheProtocol(HttpVersion version, String expected) {
		ServerCall call = ServerCall.withId(REQUEST, "own", true, AnswerClassifierTests::identity);
		assertThat(classify(call, 200, version, headers("own", "s"))).isEqualTo(expected);
	}

	/**
	 * Guards against the bytes of an interim answer's body that are read as an answer.
	 */
	@ParameterizedTest
	@CsvSource({ "true,INTERIM", "false,Interim" })
	void anInterimAnswerStatesNoBody(boolean statesBody, String expected) {
		ServerCall call = new ServerCall(REQUEST, Optional.of("own"), true, AnswerClassifierTests::identity,
				(answer) -> false);
		AnswerHead head = new AnswerHead(HttpVersion.HTTP_1_1, 103, List.of(), statesBody);
		assertThat(describe(AnswerClassifier.classify(call, head, (id) -> false))).isEqualTo(expected);
	}

}
