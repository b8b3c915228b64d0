package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Log of one program as stored by one instance, a hash chain of entries.
 */
final class LogChain {

	private final ProgramId program;

	private final List<LogEntry> entries = new ArrayList<>();

	LogChain(ProgramId program) {
		this.program = program;
	}

	ProgramId program() {
		return this.program;
	}

	int size() {
		return this.entries.size();
	}

	List<LogEntry> entries() {
		return Collections.unmodifiableList(this.entries);
	}

	List<LogEntry> after(int sequence, int maxEntries) {
		int end = (int) Math.min(this.entries.size(), (long) sequence + maxEntries);
		return new ArrayList<>(this.entries.subList(Math.min(sequence, end), end));
	}

	@Nullable LogEntry last() {
		return this.entries.isEmpty() ? null : this.entries.get(this.entries.size() - 1);
	}

	LogEntry add(long epoch, EntryType type, String body) {
		LogEntry entry = LogEntry.following(this.program, last(), epoch, type, body);
		this.entries.add(entry);
		return entry;
	}

	/**
	 * Stores an entry from the owner. An entry that differs from the stored one at the
	 * same position replaces it and all entries after it.
	 * @param entry entry of the same program
	 * @return {@code false} if the entry is corrupt or does not continue this chain
	 */
	boolean accept(LogEntry entry) {
		int sequence = entry.sequence();
		if (sequence < 1 || sequence > this.entries.size() + 1 || !entry.isIntact()) {
			return false;
		}
		if (sequence <= this.entries.size() && this.entries.get(sequence - 1).hash() == entry.hash()) {
			return true;
		}
		long previousHash = (sequence == 1) ? 0 : this.entries.get(sequence - 2).hash();
		if (previousHash != entry.previousHash()) {
			return false;
		}
		this.entries.subList(sequence - 1, this.entries.size()).clear();
		this.entries.add(entry);
		return true;
	}

	/**
	 * Returns whether a recovery has to prefer this chain to another one: the chain whose
	 * last entry has the higher epoch is newer, with equal epochs the longer one.
	 * @param other chain of the same program from another replica
	 * @return {@code false} also if both are equally new
	 */
	boolean isNewerThan(LogChain other) {
		LogEntry lastEntry = last();
		LogEntry otherLastEntry = other.last();
		if (lastEntry == null || otherLastEntry == null) {
			return lastEntry != null;
		}
		if (lastEntry.epoch() != otherLastEntry.epoch()) {
			return lastEntry.epoch() > otherLastEntry.epoch();
		}
		return size() > other.size();
	}

	/**
	 * Returns the length of the common prefix of two chains.
	 * @param other chain of the same program
	 * @return number of equal entries from the start
	 */
	int commonPrefixLength(LogChain other) {
		int length = Math.min(size(), other.size());
		while (length > 0 && this.entries.get(length - 1).hash() != other.entries.get(length - 1).hash()) {
			length--;
		}
		return length;
	}

}
