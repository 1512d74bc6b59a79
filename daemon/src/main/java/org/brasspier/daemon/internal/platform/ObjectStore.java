package org.brasspier.daemon.internal.platform;

import java.util.Optional;

import io.activej.promise.Promise;

/**
 * The platform's object store. Objects are named by their contents and never change, so a
 * put can safely be repeated. Implementations are not thread-safe; each is confined to
 * one thread.
 */
public interface ObjectStore {

	/**
	 * Stores an object.
	 * @param name the object's name
	 * @param body its contents
	 * @return completes when the object is stored, or fails with a
	 * {@link StoreException}, after which the put may be repeated
	 */
	Promise<Void> put(String name, byte[] body);

	/**
	 * Fetches an object.
	 * @param name the object's name
	 * @return its contents, empty if there is none; fails with a {@link StoreException}
	 */
	Promise<Optional<byte[]>> get(String name);

}
