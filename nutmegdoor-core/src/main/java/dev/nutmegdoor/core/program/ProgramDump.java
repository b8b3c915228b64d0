package dev.nutmegdoor.core.program;

import java.util.List;

/**
 * Snapshot of the {@link ProgramHomes} of an instance.
 *
 * @param partitions state of the partition controller
 * @param runningCalls number of calls in progress
 * @param unresolved at-most-once operations whose outcome is unknown
 */
public record ProgramDump(PartitionDump partitions, int runningCalls, List<UnresolvedCall> unresolved) {

	public ProgramDump {
		unresolved = List.copyOf(unresolved);
	}

}
