package dev.nutmegdoor.core.explain;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Retains the latest decision records within a memory limit. Records are stored as
 * encoded JSON, so that their size is known and they cannot be modified. Half of the
 * memory is reserved for refusals, because they are fewer and operators query them later
 * than other decisions. Thread-safe.
 */
public final class DecisionLog implements DecisionRecorder {

	/** Estimated memory of the index entry and object headers of one record in bytes. */
	private static final int RECORD_OVERHEAD_BYTES = 200;

	private final ObjectMapper mapper;

	private final DecisionIds ids;

	private final Map<DecisionId, List<Entry>> entriesById = new HashMap<>();

	private final BoundedQueue refusals;

	private final BoundedQueue otherRecords;

	private long recordedCount;

	/**
	 * Creates an empty log.
	 * @param ids issuer of the identifiers of this instance
	 * @param maxBytes memory limit for records in bytes, at least 1
	 */
	public DecisionLog(DecisionIds ids, long maxBytes) {
		if (maxBytes < 1) {
			throw new IllegalArgumentException("maxBytes must be positive but is " + maxBytes);
		}
		this.ids = ids;
		this.mapper = new ObjectMapper();
		this.refusals = new BoundedQueue(maxBytes / 2);
		this.otherRecords = new BoundedQueue(maxBytes - maxBytes / 2);
	}

	@Override
	public void record(DecisionRecord record) {
		byte[] json = encode(record);
		Entry entry = new Entry(record.id(), json);
		synchronized (this) {
			this.recordedCount++;
			this.entriesById.computeIfAbsent(record.id(), (key) -> new ArrayList<>(2)).add(entry);
			(record.isRefusal() ? this.refusals : this.otherRecords).add(entry);
		}
	}

	/**
	 * Finds the records of a decision.
	 * @param id identifier of the decision
	 * @return the records, or the reason why there are none
	 */
	public Explanation explain(DecisionId id) {
		List<Entry> entries;
		synchronized (this) {
			entries = new ArrayList<>(this.entriesById.getOrDefault(id, List.of()));
		}
		if (entries.isEmpty()) {
			boolean isDropped = this.ids.hasIssued(id);
			return new Explanation(id, isDropped ? ExplanationStatus.DROPPED : ExplanationStatus.UNKNOWN, List.of());
		}
		return new Explanation(id, ExplanationStatus.FOUND, entries.stream().map(this::decode).toList());
	}

	/**
	 * Finds the records of a decision on behalf of a workspace.
	 * @param id identifier of the decision
	 * @param workspace workspace of the client that requests the explanation
	 * @return the result of {@link #explain}, or {@link ExplanationStatus#UNKNOWN} if any
	 * record belongs to another workspace
	 */
	public Explanation explainFor(DecisionId id, WorkspaceId workspace) {
		Explanation explanation = explain(id);
		for (JsonNode record : explanation.records()) {
			if (!workspace.value().equals(record.path("workspace").asText())) {
				return new Explanation(id, ExplanationStatus.UNKNOWN, List.of());
			}
		}
		return explanation;
	}

	/**
	 * Returns the number and size of the records for the state dump.
	 * @return a consistent snapshot
	 */
	public synchronized DecisionLogDump dump() {
		return new DecisionLogDump(this.recordedCount, this.refusals.entries.size(), this.refusals.usedBytes,
				this.otherRecords.entries.size(), this.otherRecords.usedBytes,
				this.refusals.maxBytes + this.otherRecords.maxBytes);
	}

	private byte[] encode(DecisionRecord record) {
		try {
			return this.mapper.writeValueAsBytes(record);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("inputs or outcome of a " + record.kind() + " decision can't be encoded",
					ex);
		}
	}

	private JsonNode decode(Entry entry) {
		try {
			return this.mapper.readTree(entry.json);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("record of decision " + entry.id + " can't be decoded", ex);
		}
	}

	private void remove(Entry entry) {
		List<Entry> entries = this.entriesById.get(entry.id);
		if (entries != null) {
			entries.remove(entry);
			if (entries.isEmpty()) {
				this.entriesById.remove(entry.id);
			}
		}
	}

	private static final class Entry {

		private final DecisionId id;

		private final byte[] json;

		private Entry(DecisionId id, byte[] json) {
			this.id = id;
			this.json = json;
		}

		private long sizeBytes() {
			return (long) this.json.length + RECORD_OVERHEAD_BYTES;
		}

	}

	private final class BoundedQueue {

		private final long maxBytes;

		private final Deque<Entry> entries = new ArrayDeque<>();

		private long usedBytes;

		private BoundedQueue(long maxBytes) {
			this.maxBytes = maxBytes;
		}

		private void add(Entry entry) {
			this.entries.addLast(entry);
			this.usedBytes += entry.sizeBytes();
			while (this.usedBytes > this.maxBytes) {
				Entry oldest = this.entries.removeFirst();
				this.usedBytes -= oldest.sizeBytes();
				remove(oldest);
			}
		}

	}

}
