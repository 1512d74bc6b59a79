package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class RoutingConfigTests {

	private static final ServiceName HULLS = new ServiceName("hulls");

	private static final ServiceRule SERVICE = new ServiceRule(HULLS, 120, true, Optional.empty());

	private static RouteRule route(String name, String prefix, int rank) {
		return new RouteRule(name, "host", prefix, true, Duration.ofMillis(500), Duration.ofMillis(200), rank,
				List.of(new WeightedService(HULLS, 1)), 2);
	}

	private static RoutingConfig config(RouteRule... routes) {
		return new RoutingConfig(7, List.of(routes), List.of(SERVICE), CallerLimits.DEFAULT);
	}

	@Test
	void theLongestMatchingPrefixOfTheHostWins() {
		RoutingConfig config = config(route("short", "/a/", 1), route("long", "/a/b/", 1));
		assertThat(config.route("host", "/a/b/c").orElseThrow().name()).isEqualTo("long");
		assertThat(config.route("host", "/a/x").orElseThrow().name()).isEqualTo("short");
		assertThat(config.route("other", "/a/x")).isEmpty();
		assertThat(config.route("host", "/b")).isEmpty();
	}

	/**
	 * Guards against requests refused with 404 because their caller writes the host in
	 * another case than the configuration does.
	 */
	@Test
	void theCaseOfAHostIsIgnored() {
		assertThat(config(route("r", "/a/", 1)).route("HOST", "/a/")).isPresent();
	}

	@Test
	void aRouteToAServiceThatIsNotConfiguredIsRejected() {
		assertThrows(IllegalArgumentException.class,
				() -> new RoutingConfig(1, List.of(route("r", "/a/", 1)), List.of(), CallerLimits.DEFAULT));
	}

	/**
	 * Bookings call the schedule's service for the weather. Under load those calls waited
	 * behind lookups of the schedule, and each one that was refused failed its booking.
	 */
	@Test
	void lookupsThatAreMoreUrgentThanOthersOfTheirServiceHavePrecedence() {
		RoutingConfig config = config(route("call", "/a/", 1), route("lookup", "/b/", 2));
		RouteRule call = config.route("host", "/a/").orElseThrow();
		RouteRule lookup = config.route("host", "/b/").orElseThrow();
		assertThat(config.requestClass(call, HULLS)).isEqualTo(RequestClass.INTERNAL);
		assertThat(config.requestClass(lookup, HULLS)).isEqualTo(RequestClass.LOOKUP);
	}

	@Test
	void theLongestWaitInAQueueIsTheTargetLatencyOfTheRoute() {
		assertThat(config(route("r", "/a/", 1)).admissionSettings(HULLS).of(RequestClass.LOOKUP).maxWait())
			.isEqualTo(Duration.ofMillis(200));
	}

	@Test
	void retryAfterIsTheExpectedDurationOrElseWhatTheCallerCanWait() {
		assertThat(RetryAfter.of(Duration.ofSeconds(5), Duration.ofMillis(300))).isEqualTo(Duration.ofSeconds(5));
		assertThat(RetryAfter.of(Duration.ofMillis(50), Duration.ofMillis(300))).isEqualTo(Duration.ofMillis(50));
		assertThat(RetryAfter.of(Duration.ZERO, Duration.ofMillis(300))).isEqualTo(Duration.ofMillis(90));
	}

}
