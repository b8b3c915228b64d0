package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.distribution.StoreRetry;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Objects of the configuration in the store.
 */
final class ConfigurationStore {

	static final String HEAD_KIND = "configuration";

	static final String HEAD_NAME = "head";

	static final String SHARD_KIND = "configuration-shard";

	static final String CHANGE_KIND = "configuration-change";

	private final ObjectStore store;

	private final StoreRetry retry;

	ConfigurationStore(ObjectStore store, TimerService timer, UniformRandomProvider random) {
		this.store = store;
		this.retry = new StoreRetry(timer, random);
	}

	ObjectStore store() {
		return this.store;
	}

	CompletableFuture<StoredHead> readHead() {
		CompletableFuture<StoredHead> result = new CompletableFuture<>();
		this.store.get(HEAD_KIND, HEAD_NAME).whenComplete((object, error) -> {
			if (error == null) {
				result.complete(new StoredHead(object.version(), ConfigurationHead.parse(object.value())));
			}
			else if (StoreRetry.failureOf(error) == StoreFailure.NOT_FOUND) {
				result.complete(new StoredHead(0, ConfigurationHead.EMPTY));
			}
			else {
				result.completeExceptionally(error);
			}
		});
		return result;
	}

	CompletableFuture<StoredHead> readHeadWithRetry() {
		return this.retry.call(this::readHead);
	}

	/**
	 * Writes the head if its object in the store is unchanged.
	 * @param objectVersion expected version of the object, 0 if it must not exist
	 * @param head the new head
	 * @return the written object; fails with {@link StoreFailure#CONFLICT} or
	 * {@link StoreFailure#NOT_FOUND} if the object has changed
	 */
	CompletableFuture<StoredObject> writeHead(long objectVersion, ConfigurationHead head) {
		return (objectVersion == 0) ? this.store.create(HEAD_KIND, HEAD_NAME, head.text())
				: this.store.update(HEAD_KIND, HEAD_NAME, objectVersion, head.text());
	}

	/**
	 * Loads a version, reading only those shards that a given document does not contain.
	 * @param head the head of the version
	 * @param reusable a document whose shards are reused where their names match
	 * @return the document; fails with {@link StoreFailure#NOT_FOUND} if the head has
	 * been replaced and its shards deleted
	 */
	CompletableFuture<ConfigurationDocument> load(ConfigurationHead head, ConfigurationDocument reusable) {
		List<CompletableFuture<ConfigurationShard>> shards = new ArrayList<>();
		for (int i = 0; i < head.shards().size(); i++) {
			String name = head.shards().get(i);
			ConfigurationShard shard = reusable.shards().get(i);
			shards.add(shard.name().equals(name) ? CompletableFuture.completedFuture(shard) : loadShard(name));
		}
		return CompletableFuture.allOf(shards.toArray(new CompletableFuture<?>[0]))
			.thenApply(
					(ignored) -> ConfigurationDocument.of(head, shards.stream().map(CompletableFuture::join).toList()));
	}

	CompletableFuture<Void> createOnce(String kind, String name, String value) {
		return this.retry.createOnce(this.store, kind, name, value);
	}

	/**
	 * Deletes an object that is no longer referenced. Failures are ignored and leave the
	 * object in the store.
	 * @param kind kind of the object
	 * @param name name of the object
	 */
	void discard(String kind, String name) {
		this.store.get(kind, name).thenCompose((object) -> this.store.delete(kind, name, object.version()));
	}

	/**
	 * Reads the change history backwards, by following the previous change identifiers.
	 * @param changeId identifier of the latest change, empty if there is none
	 * @param afterVersion version at which to stop; its own entry is excluded
	 * @param limit maximum number of entries
	 * @return the entries, latest first
	 */
	CompletableFuture<List<ConfigurationChangeRecord>> history(String changeId, long afterVersion, int limit) {
		return collectHistory(changeId, afterVersion, limit, new ArrayList<>());
	}

	private CompletableFuture<List<ConfigurationChangeRecord>> collectHistory(String changeId, long afterVersion,
			int limit, List<ConfigurationChangeRecord> entries) {
		if (changeId.isEmpty() || entries.size() >= limit) {
			return CompletableFuture.completedFuture(entries);
		}
		return this.retry.call(() -> this.store.get(CHANGE_KIND, changeId)).thenCompose((object) -> {
			ConfigurationChangeRecord entry = ConfigurationJson.read(object.value(), ConfigurationChangeRecord.class);
			if (entry.version() <= afterVersion) {
				return CompletableFuture.completedFuture(entries);
			}
			entries.add(entry);
			return collectHistory(entry.previousChangeId(), afterVersion, limit, entries);
		});
	}

	private CompletableFuture<ConfigurationShard> loadShard(String name) {
		if (name.isEmpty()) {
			return CompletableFuture.completedFuture(ConfigurationShard.EMPTY);
		}
		return this.retry.call(() -> this.store.get(SHARD_KIND, name))
			.thenApply((object) -> ConfigurationShard.verified(name, object.value()));
	}

}
