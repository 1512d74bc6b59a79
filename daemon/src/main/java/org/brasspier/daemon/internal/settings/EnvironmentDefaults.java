package org.brasspier.daemon.internal.settings;

import java.util.Locale;
import java.util.Map;

import com.beust.jcommander.IDefaultProvider;
import org.jspecify.annotations.Nullable;

/**
 * Supplies the value of the environment variable for a flag that isn't set:
 * {@code BRASSPIER_MAX_BODY_BYTES} for {@code --max-body-bytes}. Immutable and
 * thread-safe.
 *
 * @param environment the environment variables
 */
record EnvironmentDefaults(Map<String, String> environment) implements IDefaultProvider {

	private static final String PREFIX = "BRASSPIER_";

	@Override
	public @Nullable String getDefaultValueFor(String flag) {
		return this.environment.get(variableName(flag));
	}

	static String variableName(String flag) {
		return PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
	}

}
