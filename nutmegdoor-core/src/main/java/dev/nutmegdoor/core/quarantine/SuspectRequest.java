package dev.nutmegdoor.core.quarantine;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What an instance knows of a request that replicas had when they crashed. It can be
 * merged in any order and any number of times.
 *
 * @param key content or object of a {@link RequestFingerprint}
 * @param crashes crashes of replicas that had the request
 * @param completedAgeMs time in milliseconds since a replica last completed the request,
 * or {@code null} if none has
 */
public record SuspectRequest(long key, List<ReplicaCrash> crashes, @Nullable Long completedAgeMs) {

	public SuspectRequest {
		crashes = List.copyOf(crashes);
	}

}
