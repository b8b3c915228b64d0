package dev.nutmegdoor.core.program;

import java.util.List;

/**
 * State of the program homes of an instance.
 *
 * @param partitions partitions
 * @param runningCalls calls that run now
 * @param unresolved operations whose outcome is unknown
 */
public record ProgramDump(PartitionDump partitions, int runningCalls, List<UnresolvedCall> unresolved) {

	public ProgramDump {
		unresolved = List.copyOf(unresolved);
	}

}
