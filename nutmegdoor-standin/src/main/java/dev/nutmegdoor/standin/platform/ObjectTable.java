package dev.nutmegdoor.standin.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Stores objects with conditional updates and a bounded log of changes. All kinds share
 * one revision counter. Safe for use by several threads.
 */
final class ObjectTable {

	private static final int MAX_OBJECT_BYTES = 1_048_576;

	private final Map<String, SortedMap<String, ObjectRecord>> kinds = new HashMap<>();

	private final Deque<ObjectChange> changes = new ArrayDeque<>();

	private final int maxChanges;

	private long revision;

	private long droppedRevision;

	ObjectTable(int maxChanges) {
		this.maxChanges = maxChanges;
	}

	synchronized long revision() {
		return this.revision;
	}

	synchronized ObjectRecord get(String kind, String name) {
		ObjectRecord object = objects(kind).get(name);
		if (object == null) {
			throw new ApiException(404, kind + "/" + name + " does not exist");
		}
		return object;
	}

	synchronized List<ObjectRecord> list(String kind, @Nullable String after, int limit) {
		SortedMap<String, ObjectRecord> objects = objects(kind);
		SortedMap<String, ObjectRecord> remaining = (after != null) ? objects.tailMap(after + "\0") : objects;
		return remaining.values().stream().limit(limit).toList();
	}

	synchronized ObjectRecord create(String kind, String name, JsonNode spec) {
		ObjectRecord existing = objects(kind).get(name);
		if (existing != null) {
			throw new ApiException(409, kind + "/" + name + " exists already", existing.toJson());
		}
		return put(kind, ObjectRecord.create(name, this.revision + 1, spec));
	}

	synchronized ObjectRecord createOrReplace(String kind, String name, JsonNode spec) {
		ObjectRecord existing = objects(kind).get(name);
		return (existing != null) ? update(kind, name, null, spec) : create(kind, name, spec);
	}

	synchronized ObjectRecord update(String kind, String name, @Nullable Long expectedRevision, JsonNode spec) {
		ObjectRecord existing = require(kind, name, expectedRevision);
		return existing.spec().equals(spec) ? existing : put(kind, existing.withSpec(this.revision + 1, spec));
	}

	synchronized ObjectRecord updateStatus(String kind, String name, @Nullable Long expectedRevision, JsonNode status) {
		ObjectRecord existing = require(kind, name, expectedRevision);
		return existing.status().equals(status) ? existing : put(kind, existing.withStatus(this.revision + 1, status));
	}

	synchronized ObjectRecord delete(String kind, String name, @Nullable Long expectedRevision) {
		ObjectRecord existing = require(kind, name, expectedRevision);
		objects(kind).remove(name);
		record(kind, existing.withSpec(this.revision + 1, existing.spec()), true);
		return existing;
	}

	synchronized WatchPage changes(String kind, long afterRevision) {
		if (afterRevision < this.droppedRevision || afterRevision > this.revision) {
			return new WatchPage(List.of(), this.revision, true);
		}
		List<ObjectChange> found = new ArrayList<>();
		for (ObjectChange change : this.changes) {
			if (change.object().revision() > afterRevision && change.kind().equals(kind)) {
				found.add(change);
			}
		}
		return new WatchPage(found, this.revision, false);
	}

	private ObjectRecord require(String kind, String name, @Nullable Long expectedRevision) {
		ObjectRecord object = get(kind, name);
		if (expectedRevision != null && object.revision() != expectedRevision) {
			throw new ApiException(409,
					kind + "/" + name + " has revision " + object.revision() + ", expected " + expectedRevision,
					object.toJson());
		}
		return object;
	}

	private ObjectRecord put(String kind, ObjectRecord object) {
		if (object.toJson().toString().length() > MAX_OBJECT_BYTES) {
			throw new ApiException(413, "an object must have at most " + MAX_OBJECT_BYTES + " bytes");
		}
		record(kind, object, false);
		objects(kind).put(object.name(), object);
		return object;
	}

	private void record(String kind, ObjectRecord object, boolean isDeleted) {
		this.revision = object.revision();
		this.changes.addLast(new ObjectChange(kind, object, isDeleted));
		if (this.changes.size() > this.maxChanges) {
			this.droppedRevision = this.changes.removeFirst().object().revision();
		}
	}

	private SortedMap<String, ObjectRecord> objects(String kind) {
		return this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
	}

}
