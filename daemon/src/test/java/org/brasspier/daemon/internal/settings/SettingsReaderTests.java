package org.brasspier.daemon.internal.settings;

import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SettingsReaderTests {

	private static final String SHARED_KEY = "a-shared-key-of-enough-characters";

	private static final String[] REQUIRED_FLAGS = { "--instance", "hullbook-1", "--failure-domain", "duluth",
			"--table", "127.0.0.1:9000", "--object-store", "127.0.0.1:9001" };

	private final Map<String, String> environment = new HashMap<>(Map.of("BRASSPIER_SHARED_KEYS", SHARED_KEY,
			"BRASSPIER_OPERATOR_SECRETS", "operator-secret", "BRASSPIER_PLATFORM_TOKEN", "token"));

	@Test
	void completeSettingsAreReadAndTheirTextShowsNoSecret() {
		Settings settings = read(REQUIRED_FLAGS).get();
		assertThat(settings.instance().value()).isEqualTo("hullbook-1");
		assertThat(settings.advertisedHost()).isEqualTo("127.0.0.1");
		assertThat(settings.toString()).doesNotContain(SHARED_KEY);
		assertThat(settings.toString()).doesNotContain("operator-secret");
	}

	@Test
	void aFlagTakesPrecedenceOverItsEnvironmentVariable() {
		this.environment.put("BRASSPIER_INSTANCE", "from-environment");
		this.environment.put("BRASSPIER_MAX_BODY_BYTES", "4096");
		Settings settings = read(REQUIRED_FLAGS).get();
		assertThat(settings.instance().value()).isEqualTo("hullbook-1");
		assertThat(settings.limits().maxBodyBytes()).isEqualTo(4096);
	}

	@Test
	void oneMessageNamesEveryInvalidSetting() {
		this.environment.put("BRASSPIER_SHARED_KEYS", "short");
		this.environment.remove("BRASSPIER_PLATFORM_TOKEN");
		Failure failure = read("--instance", "no spaces", "--failure-domain", "duluth", "--table", "localhost:9000",
				"--object-store", "127.0.0.1:99999", "--caller-listen", "7000", "--log-format", "xml")
			.getLeft();
		assertThat(failure.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
		for (String setting : new String[] { "--instance", "--table", "--object-store", "--caller-listen",
				"--log-format", "BRASSPIER_SHARED_KEYS", "BRASSPIER_PLATFORM_TOKEN" }) {
			assertThat(failure.detail()).contains(setting);
		}
		assertThat(failure.detail()).doesNotContain("--failure-domain");
		assertThat(failure.detail()).doesNotContain("short");
	}

	private Either<Failure, Settings> read(String... arguments) {
		return new SettingsReader(this.environment).read(arguments);
	}

}
