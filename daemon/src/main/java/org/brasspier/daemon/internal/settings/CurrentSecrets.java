package org.brasspier.daemon.internal.settings;

import java.util.ArrayList;
import java.util.List;

import org.brasspier.wire.SharedKeys;

/**
 * The current shared keys and platform tokens, which are reread from their files while
 * the daemon runs. Thread-safe; {@link #toString()} contains no secret.
 */
public final class CurrentSecrets {

	private volatile SharedKeys sharedKeys;

	private volatile List<String> platformTokens;

	/**
	 * Starts with the secrets of the settings.
	 * @param secrets the secrets read at startup
	 */
	public CurrentSecrets(Settings.Secrets secrets) {
		this.sharedKeys = secrets.sharedKeys();
		this.platformTokens = secrets.platformTokens();
	}

	/**
	 * Returns the keys to open connections between daemons with.
	 * @return the shared keys
	 */
	public SharedKeys sharedKeys() {
		return this.sharedKeys;
	}

	/**
	 * Replaces the shared keys. Open connections are kept.
	 * @param keys the keys read from the file
	 * @return whether the keys changed
	 * @throws IllegalArgumentException if the keys are invalid; the present ones are kept
	 */
	public synchronized boolean replaceSharedKeys(List<String> keys) {
		SharedKeys newKeys = new SharedKeys(keys);
		boolean changed = !newKeys.equals(this.sharedKeys);
		this.sharedKeys = newKeys;
		return changed;
	}

	/**
	 * Returns the token to call the platform with.
	 * @return the bearer token
	 */
	public String platformToken() {
		return this.platformTokens.getFirst();
	}

	/**
	 * Replaces the platform's tokens.
	 * @param tokens the tokens read from the file; the first is tried first
	 * @return whether the tokens changed
	 */
	public synchronized boolean replacePlatformTokens(List<String> tokens) {
		boolean changed = !List.copyOf(tokens).equals(this.platformTokens);
		this.platformTokens = List.copyOf(tokens);
		return changed;
	}

	/**
	 * Moves a token that the platform has refused to the end of the list, so that the
	 * next one is used. The daemon thus doesn't have to know when the platform switches
	 * from the old token to the new one.
	 * @param refused the refused token
	 */
	public synchronized void onPlatformTokenRefused(String refused) {
		List<String> tokens = this.platformTokens;
		if (tokens.size() > 1 && tokens.getFirst().equals(refused)) {
			List<String> rotated = new ArrayList<>(tokens.subList(1, tokens.size()));
			rotated.add(refused);
			this.platformTokens = List.copyOf(rotated);
		}
	}

	@Override
	public String toString() {
		return "CurrentSecrets[]";
	}

}
