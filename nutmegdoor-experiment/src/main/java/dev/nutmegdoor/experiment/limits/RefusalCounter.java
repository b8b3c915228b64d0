package dev.nutmegdoor.experiment.limits;

import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Counts refusals within the rate. A workspace that stays within its rate is counted
 * request by request: refused here, admitted by an exact bucket. A workspace that sends
 * more than its rate is counted by numbers, because under overload it doesn't matter
 * which of its requests are admitted.
 */
final class RefusalCounter {

	private final Map<WorkspaceId, Count> counts = new TreeMap<>();

	RefusalCounter(LimitWorkload workload) {
		for (Workspace workspace : workload.workspaces()) {
			this.counts.put(workspace.id(), new Count());
		}
		for (LimitWorkload.Arrival arrival : workload.arrivals()) {
			count(arrival.workspace()).offered++;
		}
		for (Workspace workspace : workload.workspaces()) {
			double allowed = workspace.ratePerSecond() * LimitScenario.DURATION_MS / 1000 + workspace.burst();
			Count count = count(workspace.id());
			count.isWithinRate = count.offered <= allowed;
		}
	}

	void decided(WorkspaceId workspace, boolean isExactAdmitted, boolean isAdmitted) {
		Count count = count(workspace);
		count.exact += isExactAdmitted ? 1 : 0;
		count.admitted += isAdmitted ? 1 : 0;
		count.refusedByRequest += (isExactAdmitted && !isAdmitted) ? 1 : 0;
	}

	long offeredWithinRate() {
		return this.counts.values().stream().mapToLong((count) -> count.exact).sum();
	}

	long refusedWithinRate() {
		return this.counts.values().stream().mapToLong(Count::refused).sum();
	}

	private Count count(WorkspaceId workspace) {
		Count count = this.counts.get(workspace);
		if (count == null) {
			throw new IllegalArgumentException("unknown workspace " + workspace);
		}
		return count;
	}

	private static final class Count {

		private long offered;

		private long exact;

		private long admitted;

		private long refusedByRequest;

		private boolean isWithinRate;

		private long refused() {
			return this.isWithinRate ? this.refusedByRequest : Math.max(0, this.exact - this.admitted);
		}

	}

}
