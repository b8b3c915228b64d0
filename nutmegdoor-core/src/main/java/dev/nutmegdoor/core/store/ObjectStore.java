package dev.nutmegdoor.core.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port of the platform's object API. Futures fail with {@link StoreException} and
 * complete on the control thread. Each call, including a watch, counts towards the
 * platform's rate limits.
 */
public interface ObjectStore {

	/** Maximum size of an object's value in bytes of UTF-8. */
	int MAX_VALUE_BYTES = 1_000_000;

	/**
	 * Reads an object.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @return the object; fails with {@link StoreFailure#NOT_FOUND}
	 */
	CompletableFuture<StoredObject> get(String kind, String name);

	/**
	 * Lists the objects of a kind whose names start with a prefix.
	 * @param kind kind of the objects
	 * @param prefix prefix of the names; empty for all objects of the kind
	 * @return the objects and the version from which to watch
	 */
	CompletableFuture<StorePage> list(String kind, String prefix);

	/**
	 * Creates an object.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param value content, at most {@link #MAX_VALUE_BYTES} bytes in UTF-8
	 * @return the created object; fails with {@link StoreFailure#CONFLICT} if it exists
	 */
	CompletableFuture<StoredObject> create(String kind, String name, String value);

	/**
	 * Replaces the content of an object if its version is the expected one.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param expectedVersion version that the caller has read
	 * @param value new content, at most {@link #MAX_VALUE_BYTES} bytes in UTF-8
	 * @return the new version; fails with {@link StoreFailure#CONFLICT} or
	 * {@link StoreFailure#NOT_FOUND}
	 */
	CompletableFuture<StoredObject> update(String kind, String name, long expectedVersion, String value);

	/**
	 * Deletes an object if its version is the expected one.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param expectedVersion version that the caller has read
	 * @return completes when the object is deleted; fails with
	 * {@link StoreFailure#CONFLICT} or {@link StoreFailure#NOT_FOUND}
	 */
	CompletableFuture<Void> delete(String kind, String name, long expectedVersion);

	/**
	 * Replaces the status of an object. The object itself may be written by another
	 * party; its status is not part of the value that the other operations read.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param status new status as JSON
	 * @return completes when the status is stored
	 */
	CompletableFuture<Void> reportStatus(String kind, String name, String status);

	/**
	 * Waits for changes of a kind.
	 * @param kind kind of the objects
	 * @param afterVersion version after which changes are returned
	 * @param timeoutMs maximum wait in milliseconds
	 * @return the changes; empty after the timeout
	 */
	CompletableFuture<StoreWatchResult> watch(String kind, long afterVersion, long timeoutMs);

}
