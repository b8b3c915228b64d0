package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoredObject;

/**
 * Reads and writes lease records in the store. Futures fail with
 * {@link dev.nutmegdoor.core.store.StoreException}, or with {@link IllegalStateException}
 * if an object cannot be parsed.
 */
final class LeaseRecords {

	static final String KIND = "lease";

	private final ObjectMapper mapper = new ObjectMapper();

	private final ObjectStore store;

	LeaseRecords(ObjectStore store) {
		this.store = store;
	}

	CompletableFuture<StoredLease> get(InstanceId holder) {
		return this.store.get(KIND, holder.value()).thenApply(this::parse);
	}

	CompletableFuture<List<StoredLease>> list() {
		return this.store.list(KIND, "").thenApply((page) -> {
			List<StoredLease> leases = new ArrayList<>();
			page.objects().forEach((object) -> leases.add(parse(object)));
			return leases;
		});
	}

	CompletableFuture<Long> create(LeaseRecord record) {
		return this.store.create(KIND, record.holder().value(), write(record)).thenApply(StoredObject::version);
	}

	CompletableFuture<Long> update(LeaseRecord record, long expectedVersion) {
		return this.store.update(KIND, record.holder().value(), expectedVersion, write(record))
			.thenApply(StoredObject::version);
	}

	private StoredLease parse(StoredObject object) {
		try {
			return new StoredLease(this.mapper.readValue(object.value(), LeaseRecord.class), object.version());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(
					"failed to parse the store object lease/" + object.name() + " as a lease record", ex);
		}
	}

	private String write(LeaseRecord record) {
		try {
			return this.mapper.writeValueAsString(record);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to serialise the lease record of instance " + record.holder(), ex);
		}
	}

}
