package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.NetworkAddresses;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StoredObject;

/**
 * {@link InstanceRegistry} that keeps each entry as an object in the platform's store.
 */
public final class StoredInstanceRegistry implements InstanceRegistry {

	private static final int MAX_CONFLICTS = 3;

	private final ObjectMapper mapper = new ObjectMapper();

	private final ObjectStore store;

	private final String kind;

	private final EventLog eventLog;

	/**
	 * Creates a registry for one group of instances.
	 * @param store the platform's store
	 * @param kind kind of the store objects, different for each group of instances
	 * @param eventLog records entries that cannot be parsed, which are left out of the
	 * list
	 */
	public StoredInstanceRegistry(ObjectStore store, String kind, EventLog eventLog) {
		this.store = store;
		this.kind = kind;
		this.eventLog = eventLog;
	}

	@Override
	public CompletableFuture<List<DirectoryEntry>> list() {
		return this.store.list(this.kind, "").thenApply((page) -> {
			List<DirectoryEntry> entries = new ArrayList<>();
			for (StoredObject object : page.objects()) {
				try {
					entries.add(decode(object));
				}
				catch (JsonProcessingException | IllegalArgumentException ex) {
					this.eventLog.record("registry.entry-unreadable", "kind", this.kind, "name", object.name(), "error",
							String.valueOf(ex.getMessage()));
				}
			}
			return entries;
		});
	}

	@Override
	public CompletableFuture<Void> register(DirectoryEntry instance) {
		return put(instance, MAX_CONFLICTS);
	}

	@Override
	public CompletableFuture<Void> unregister(DirectoryEntry instance) {
		String name = instance.id().value();
		return this.store.get(this.kind, name)
			.thenCompose((object) -> this.store.delete(this.kind, name, object.version()))
			.handle((done, error) -> {
				if (error != null && failureOf(error) != StoreFailure.NOT_FOUND) {
					throw new CompletionException(error);
				}
				return null;
			});
	}

	private CompletableFuture<Void> put(DirectoryEntry instance, int remainingAttempts) {
		String name = instance.id().value();
		String value = encode(instance);
		return this.store.create(this.kind, name, value).<CompletableFuture<Void>>handle((created, error) -> {
			if (error == null) {
				return CompletableFuture.completedFuture(null);
			}
			if (failureOf(error) != StoreFailure.CONFLICT || remainingAttempts == 0) {
				return CompletableFuture.failedFuture(error);
			}
			return this.store.get(this.kind, name)
				.thenCompose((existing) -> existing.value().equals(value) ? CompletableFuture.completedFuture(existing)
						: this.store.update(this.kind, name, existing.version(), value))
				.<CompletableFuture<Void>>handle((updated, failure) -> {
					if (failure == null) {
						return CompletableFuture.completedFuture(null);
					}
					StoreFailure reason = failureOf(failure);
					boolean isConcurrentChange = reason == StoreFailure.CONFLICT || reason == StoreFailure.NOT_FOUND;
					return isConcurrentChange ? put(instance, remainingAttempts - 1)
							: CompletableFuture.failedFuture(failure);
				})
				.thenCompose((result) -> result);
		}).thenCompose((result) -> result);
	}

	private static StoreFailure failureOf(Throwable error) {
		Throwable cause = StoreException.causeOf(error);
		return (cause instanceof StoreException failure) ? failure.failure() : StoreFailure.OUTCOME_UNKNOWN;
	}

	private static String encode(DirectoryEntry entry) {
		return JsonNodeFactory.instance.objectNode()
			.put("zone", entry.availabilityZone().value())
			.put("host", entry.host())
			.put("port", entry.port())
			.put("leaving", entry.isLeaving())
			.toString();
	}

	private DirectoryEntry decode(StoredObject object) throws JsonProcessingException {
		JsonNode node = this.mapper.readTree(object.value());
		JsonNode host = node.path("host");
		JsonNode port = node.path("port");
		if (!host.isTextual() || !NetworkAddresses.isIpv4(host.textValue()) || !port.isIntegralNumber()
				|| !port.canConvertToInt() || !NetworkAddresses.isPort(port.intValue())) {
			throw new IllegalArgumentException("it has no IPv4 address and port");
		}
		return new DirectoryEntry(new InstanceId(object.name()), new AvailabilityZone(node.path("zone").asText()),
				host.textValue(), port.intValue(), node.path("leaving").asBoolean());
	}

}
