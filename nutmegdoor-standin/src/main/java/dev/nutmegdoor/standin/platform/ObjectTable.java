package dev.nutmegdoor.standin.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StorePage;
import dev.nutmegdoor.core.store.StoredObject;

/**
 * Versioned objects with conditional updates and a bounded log of changes. One version
 * counter serves all kinds. May be called from any thread.
 */
final class ObjectTable {

	private final Map<String, SortedMap<String, StoredObject>> kinds = new HashMap<>();

	private final Deque<StoreEvent> events = new ArrayDeque<>();

	private final int keptEvents;

	private long version;

	private long droppedVersion;

	ObjectTable(int keptEvents) {
		this.keptEvents = keptEvents;
	}

	synchronized StoredObject get(String kind, String name) {
		StoredObject object = objects(kind).get(name);
		if (object == null) {
			throw new ApiException(404, kind + "/" + name + " does not exist");
		}
		return object;
	}

	synchronized StorePage list(String kind, String prefix) {
		List<StoredObject> found = new ArrayList<>();
		for (StoredObject object : objects(kind).tailMap(prefix).values()) {
			if (!object.name().startsWith(prefix)) {
				break;
			}
			found.add(object);
		}
		return new StorePage(found, this.version);
	}

	synchronized StoredObject create(String kind, String name, String value) {
		if (objects(kind).containsKey(name)) {
			throw new ApiException(412, kind + "/" + name + " exists already");
		}
		return put(kind, name, value);
	}

	synchronized StoredObject update(String kind, String name, long expectedVersion, String value) {
		requireVersion(kind, name, expectedVersion);
		return put(kind, name, value);
	}

	synchronized long delete(String kind, String name, long expectedVersion) {
		requireVersion(kind, name, expectedVersion);
		objects(kind).remove(name);
		record(kind, name, null);
		return this.version;
	}

	synchronized WatchPage changes(String kind, long afterVersion) {
		if (afterVersion < this.droppedVersion || afterVersion > this.version) {
			return new WatchPage(List.of(), this.version, true);
		}
		List<StoreEvent> found = new ArrayList<>();
		for (StoreEvent event : this.events) {
			if (event.version() > afterVersion && event.kind().equals(kind)) {
				found.add(event);
			}
		}
		return new WatchPage(found, this.version, false);
	}

	private void requireVersion(String kind, String name, long expectedVersion) {
		StoredObject object = get(kind, name);
		if (object.version() != expectedVersion) {
			throw new ApiException(412,
					kind + "/" + name + " has version " + object.version() + ", expected " + expectedVersion);
		}
	}

	private StoredObject put(String kind, String name, String value) {
		if (value.getBytes(StandardCharsets.UTF_8).length > ObjectStore.MAX_VALUE_BYTES) {
			throw new ApiException(413, "value must have at most " + ObjectStore.MAX_VALUE_BYTES + " bytes");
		}
		record(kind, name, value);
		StoredObject object = new StoredObject(kind, name, this.version, value);
		objects(kind).put(name, object);
		return object;
	}

	private void record(String kind, String name, @Nullable String value) {
		this.version++;
		this.events.addLast(new StoreEvent(kind, name, this.version, value));
		if (this.events.size() > this.keptEvents) {
			this.droppedVersion = this.events.removeFirst().version();
		}
	}

	private SortedMap<String, StoredObject> objects(String kind) {
		return this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
	}

}
