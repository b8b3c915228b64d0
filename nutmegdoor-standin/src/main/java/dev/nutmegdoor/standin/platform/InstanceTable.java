package dev.nutmegdoor.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Registered instances, listed as they were some time ago. May be called from any thread.
 */
final class InstanceTable {

	private final long lagMs;

	private final SortedMap<String, InstanceEntry> listed = new TreeMap<>();

	private final Deque<Change> pending = new ArrayDeque<>();

	InstanceTable(long lagMs) {
		this.lagMs = lagMs;
	}

	synchronized void put(long nowMs, InstanceEntry entry) {
		this.pending.addLast(new Change(nowMs + this.lagMs, () -> this.listed.put(entry.id(), entry)));
	}

	synchronized void remove(long nowMs, String id) {
		this.pending.addLast(new Change(nowMs + this.lagMs, () -> this.listed.remove(id)));
	}

	synchronized List<InstanceEntry> list(long nowMs) {
		Change change = this.pending.peekFirst();
		while (change != null && change.visibleMs() <= nowMs) {
			this.pending.removeFirst().effect().run();
			change = this.pending.peekFirst();
		}
		return List.copyOf(this.listed.values());
	}

	private record Change(long visibleMs, Runnable effect) {

	}

}
