package org.brasspier.daemon.internal.exchange;

import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Set;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * The ids of the requests that one connection has carried. A server may answer a request
 * a second time at any later moment, so an id identifies an answer only on a connection
 * that has carried it once, and an answer with an id that it has not carried is nobody's.
 * Keeps a keyed hash of 64 bits of each id, some 60 bytes. Not thread-safe.
 */
public final class CarriedRequests {

	/** The number of requests that a connection may carry. */
	public static final int CAPACITY = 2048;

	// Callers choose the ids and must not be able to choose two with one hash.
	private static final HashFunction HASH = keyedHash(new SecureRandom());

	/** How many requests the connection may still carry when it counts as nearly full. */
	private static final int NEARLY_FULL_MARGIN = 64;

	private final Set<Long> hashes = new HashSet<>();

	private int count;

	private static HashFunction keyedHash(SecureRandom random) {
		return Hashing.sipHash24(random.nextLong(), random.nextLong());
	}

	private static long hash(String id) {
		return HASH.hashUnencodedChars(id).asLong();
	}

	/**
	 * Adds the id of a request that is about to be sent.
	 * @param id the id
	 */
	public void add(String id) {
		this.hashes.add(hash(id));
		this.count++;
	}

	/**
	 * Returns whether the connection has carried an id.
	 * @param id the id
	 * @return true if it has; wrongly for one of 10^15 ids that it has not
	 */
	public boolean contains(String id) {
		return this.hashes.contains(hash(id));
	}

	/**
	 * Returns whether another connection should be opened that replaces this one.
	 * @return true a few requests before {@link #isFull}
	 */
	public boolean isNearlyFull() {
		return this.count >= CAPACITY - NEARLY_FULL_MARGIN;
	}

	/**
	 * Returns whether the connection can't carry further requests with an id.
	 * @return true once {@link #CAPACITY} ids were added
	 */
	public boolean isFull() {
		return this.count >= CAPACITY;
	}

}
