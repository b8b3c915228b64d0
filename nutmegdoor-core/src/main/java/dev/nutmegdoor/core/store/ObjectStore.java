package dev.nutmegdoor.core.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port of the platform's object API. Futures fail with {@link StoreException} and
 * complete on the control thread. Each call, a waiting watch included, counts against the
 * platform's call rates.
 */
public interface ObjectStore {

	/** Largest value of an object in bytes of UTF-8. */
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
	 * @param prefix prefix of the names, may be empty
	 * @return the objects and the version to watch from
	 */
	CompletableFuture<StorePage> list(String kind, String prefix);

	/**
	 * Creates an object.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param value content
	 * @return the created object; fails with {@link StoreFailure#CONFLICT} if it exists
	 */
	CompletableFuture<StoredObject> create(String kind, String name, String value);

	/**
	 * Replaces the content of an object if its version is the expected one.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param expectedVersion version that the caller has read
	 * @param value new content
	 * @return the new version; fails with {@link StoreFailure#CONFLICT} or
	 * {@link StoreFailure#NOT_FOUND}
	 */
	CompletableFuture<StoredObject> update(String kind, String name, long expectedVersion, String value);

	/**
	 * Deletes an object if its version is the expected one.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param expectedVersion version that the caller has read
	 * @return completes when the object is gone
	 */
	CompletableFuture<Void> delete(String kind, String name, long expectedVersion);

	/**
	 * Replaces the status of an object that another party has written. The status is not
	 * part of the value that the other operations read.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param status new status as JSON
	 * @return completes when the status is stored
	 */
	CompletableFuture<Void> reportStatus(String kind, String name, String status);

	/**
	 * Waits for changes of a kind.
	 * @param kind kind of the objects
	 * @param afterVersion version after which changes are wanted
	 * @param timeoutMs longest wait in milliseconds
	 * @return the changes, or none after the timeout
	 */
	CompletableFuture<StoreWatchResult> watch(String kind, long afterVersion, long timeoutMs);

}
