package org.brasspier.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/**
 * The files of one daemon's secrets, which a test may replace while it runs. Thread-safe.
 *
 * @param sharedKeys the file of the keys that daemons share
 * @param operators the file of the operators' secrets
 * @param platform the file of the platform's tokens
 */
public record InstanceSecrets(Path sharedKeys, Path operators, Path platform) {

	static InstanceSecrets write(Path folder, String name) {
		InstanceSecrets secrets = new InstanceSecrets(folder.resolve(name + ".keys"),
				folder.resolve(name + ".operators"), folder.resolve(name + ".token"));
		secrets.sharedKeys(InstanceBuilder.SHARED_KEY);
		secrets.operators(InstanceBuilder.OPERATOR_SECRET);
		secrets.platform(InstanceBuilder.PLATFORM_TOKEN);
		return secrets;
	}

	/**
	 * Replaces the keys that this daemon shares.
	 * @param keys the keys
	 */
	public void sharedKeys(String... keys) {
		replace(this.sharedKeys, keys);
	}

	/**
	 * Replaces the operators' secrets of this daemon.
	 * @param secrets the secrets
	 */
	public void operators(String... secrets) {
		replace(this.operators, secrets);
	}

	/**
	 * Replaces the platform's tokens of this daemon.
	 * @param tokens the tokens
	 */
	public void platform(String... tokens) {
		replace(this.platform, tokens);
	}

	// Replaced by an atomic rename, as docs/OPERATING.md requires: a partly written
	// file would hold a truncated secret.
	private static void replace(Path file, String... lines) {
		try {
			Path newFile = Files.write(file.resolveSibling(file.getFileName() + ".new"), List.of(lines));
			Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
