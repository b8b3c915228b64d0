package dev.nutmegdoor.experiment.limits;

import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * One exact bucket for each workspace.
 */
final class ReferenceBuckets {

	private final Map<WorkspaceId, ExactBucket> buckets = new TreeMap<>();

	ReferenceBuckets(LimitWorkload workload) {
		for (Workspace workspace : workload.workspaces()) {
			this.buckets.put(workspace.id(),
					new ExactBucket(workspace.ratePerSecond(), workspace.burst(), workspace.burst(), 0));
		}
	}

	ExactBucket bucket(WorkspaceId workspace) {
		ExactBucket bucket = this.buckets.get(workspace);
		if (bucket == null) {
			throw new IllegalArgumentException("unknown workspace " + workspace);
		}
		return bucket;
	}

	boolean take(WorkspaceId workspace, long nowMs) {
		return bucket(workspace).take(nowMs);
	}

}
