package org.brasspier.daemon.internal.exchange;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;

/**
 * The ids of the requests that one connection has carried. A server may answer a request
 * a second time at any later moment, so an id identifies an answer only on a connection
 * that has carried it once. Takes up a fixed amount of memory. Not thread-safe.
 */
public final class CarriedRequests {

	/** The number of requests that a connection may carry. */
	public static final int CAPACITY = 8192;

	/** At most this share of the ids that were not carried count as carried. */
	private static final double MAX_FALSE_POSITIVES = 0.001;

	@SuppressWarnings("UnstableApiUsage")
	private final BloomFilter<CharSequence> ids = BloomFilter.create(Funnels.unencodedCharsFunnel(), CAPACITY,
			MAX_FALSE_POSITIVES);

	private int count;

	/**
	 * Adds the id of a request that is about to be sent.
	 * @param id the id
	 */
	public void add(String id) {
		this.ids.put(id);
		this.count++;
	}

	/**
	 * Returns whether the connection may have carried an id.
	 * @param id the id
	 * @return false if it certainly has not
	 */
	public boolean mayContain(String id) {
		return this.ids.mightContain(id);
	}

	/**
	 * Returns whether the connection can't carry further requests with an id.
	 * @return true once {@link #CAPACITY} ids were added
	 */
	public boolean isFull() {
		return this.count >= CAPACITY;
	}

}
