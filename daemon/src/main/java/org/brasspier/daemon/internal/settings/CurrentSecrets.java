package org.brasspier.daemon.internal.settings;

import java.util.ArrayList;
import java.util.List;

import org.brasspier.wire.SharedKeys;

/**
 * The keys that daemons share and the platform's token, as they are now: both are read
 * anew from their files while the daemon runs. Thread-safe; never prints a secret.
 */
public final class CurrentSecrets {

	private volatile SharedKeys sharedKeys;

	private volatile List<String> platformTokens;

	/**
	 * Begins with what the settings say.
	 * @param secrets the secrets read at the start
	 */
	public CurrentSecrets(Settings.Secrets secrets) {
		this.sharedKeys = secrets.sharedKeys();
		this.platformTokens = secrets.platformTokens();
	}

	/**
	 * The keys to open a connection with.
	 * @return the keys
	 */
	public SharedKeys sharedKeys() {
		return this.sharedKeys;
	}

	/**
	 * Replaces the shared keys. Connections that are open go on.
	 * @param lines the keys as read anew
	 * @return whether anything changed
	 * @throws IllegalArgumentException if they aren't fit for use; the present ones stay
	 */
	public synchronized boolean replaceSharedKeys(List<String> lines) {
		SharedKeys newKeys = new SharedKeys(lines);
		boolean changed = !newKeys.equals(this.sharedKeys);
		this.sharedKeys = newKeys;
		return changed;
	}

	/**
	 * The token to call the platform with.
	 * @return the token
	 */
	public String platformToken() {
		return this.platformTokens.getFirst();
	}

	/**
	 * Replaces the platform's tokens.
	 * @param lines the tokens as read anew, the one to begin with first
	 * @return whether anything changed
	 */
	public synchronized boolean replacePlatformTokens(List<String> lines) {
		boolean changed = !List.copyOf(lines).equals(this.platformTokens);
		this.platformTokens = List.copyOf(lines);
		return changed;
	}

	/**
	 * Goes on to the next token after the platform has refused one, so that nothing waits
	 * for the moment in which the platform changes from the old token to the new one.
	 * @param refused the token it refused
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
