package org.brasspier.daemon.internal.settings;

import java.util.Locale;
import java.util.Map;

import com.beust.jcommander.IDefaultProvider;
import org.jspecify.annotations.Nullable;

/**
 * Gives a flag that isn't set the value of its environment variable:
 * {@code --max-body-bytes} is {@code BRASSPIER_MAX_BODY_BYTES}. Immutable and
 * thread-safe.
 *
 * @param environment the environment's variables
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
