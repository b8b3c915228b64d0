package dev.nutmegdoor.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;

import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StorePage;
import dev.nutmegdoor.core.store.StoreWatchResult;
import dev.nutmegdoor.core.store.StoredObject;

/**
 * Object API over HTTP, one request per call and without retries; see
 * {@code docs/platform-api.md}. Wrap it in a {@link BudgetedObjectStore}.
 */
public final class HttpObjectStore implements ObjectStore {

	private static final String OBJECTS = "/v1/objects";

	private final PlatformHttp http;

	public HttpObjectStore(PlatformHttp http) {
		this.http = http;
	}

	@Override
	public CompletableFuture<StoredObject> get(String kind, String name) {
		return this.http.read(OBJECTS + PlatformHttp.path(kind, name), 0, HttpObjectStore::parseObject);
	}

	@Override
	public CompletableFuture<StorePage> list(String kind, String prefix) {
		String uri = OBJECTS + PlatformHttp.path(kind) + "?prefix=" + PlatformHttp.encode(prefix);
		return this.http.read(uri, 0, (json) -> {
			List<StoredObject> objects = new ArrayList<>();
			json.path("objects").forEach((node) -> objects.add(parseObject(node)));
			return new StorePage(objects, json.path("version").asLong());
		});
	}

	@Override
	public CompletableFuture<StoredObject> create(String kind, String name, String value) {
		return put(kind, name, Precondition.absent(), value);
	}

	@Override
	public CompletableFuture<StoredObject> update(String kind, String name, long expectedVersion, String value) {
		return put(kind, name, Precondition.version(expectedVersion), value);
	}

	@Override
	public CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.http
			.write(HttpMethod.DELETE, OBJECTS + PlatformHttp.path(kind, name), Precondition.version(expectedVersion),
					null, (json) -> json.path("version").asLong())
			.whenComplete((version, error) -> {
				if (error != null) {
					result.completeExceptionally(error);
				}
				else {
					result.complete(null);
				}
			});
		return result;
	}

	@Override
	public CompletableFuture<StoreWatchResult> watch(String kind, long afterVersion, long timeoutMs) {
		String uri = "/v1/watch" + PlatformHttp.path(kind) + "?after=" + afterVersion + "&timeoutMs=" + timeoutMs;
		return this.http.read(uri, timeoutMs, (json) -> {
			List<StoreEvent> events = new ArrayList<>();
			json.path("events").forEach((node) -> events.add(parseEvent(node)));
			return new StoreWatchResult(events, json.path("version").asLong(), json.path("reset").asBoolean());
		});
	}

	private CompletableFuture<StoredObject> put(String kind, String name, Precondition precondition, String value) {
		if (value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
			return CompletableFuture.failedFuture(new StoreException(StoreFailure.INVALID,
					"value of " + kind + "/" + name + " must have at most " + MAX_VALUE_BYTES + " bytes"));
		}
		return this.http.write(HttpMethod.PUT, OBJECTS + PlatformHttp.path(kind, name), precondition, value,
				(json) -> new StoredObject(kind, name, json.required("version").asLong(), value));
	}

	private static StoredObject parseObject(JsonNode node) {
		return new StoredObject(node.path("kind").asText(), node.path("name").asText(), node.path("version").asLong(),
				node.path("value").asText());
	}

	private static StoreEvent parseEvent(JsonNode node) {
		JsonNode value = node.path("value");
		return new StoreEvent(node.path("kind").asText(), node.path("name").asText(), node.path("version").asLong(),
				value.isTextual() ? value.asText() : null);
	}

}
