package dev.nutmegdoor.core.schedule;

import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Queued calls of one workspace with its start tag in the fair queue.
 */
final class WorkspaceQueue implements Comparable<WorkspaceQueue> {

	final WorkspaceId workspace;

	final TreeSet<QueuedCall> calls = new TreeSet<>();

	double startTag;

	/** Average time between two dispatches while calls are queued, in milliseconds. */
	double dispatchGapMs;

	long lastDispatchMs;

	WorkspaceQueue(WorkspaceId workspace, double firstDispatchGapMs) {
		this.workspace = workspace;
		this.dispatchGapMs = firstDispatchGapMs;
	}

	@Override
	public int compareTo(WorkspaceQueue other) {
		int tagOrder = Double.compare(this.startTag, other.startTag);
		return (tagOrder != 0) ? tagOrder : this.workspace.compareTo(other.workspace);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return this == other;
	}

	@Override
	public int hashCode() {
		return this.workspace.hashCode();
	}

}
