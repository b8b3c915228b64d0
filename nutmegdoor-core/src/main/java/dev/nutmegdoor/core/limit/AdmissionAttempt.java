package dev.nutmegdoor.core.limit;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Mutable state of one admission in progress. Used by the control thread only.
 */
final class AdmissionAttempt {

	private final WorkspaceId workspace;

	private final UniformRandomProvider random;

	private final CompletableFuture<Admission> result = new CompletableFuture<>();

	private final Set<InstanceId> queriedPeers = new HashSet<>();

	private final Set<InstanceId> forwardedTo = new HashSet<>();

	private @Nullable AdmissionDecision lastDecision;

	private boolean hasWaitedForTokens;

	private boolean isDelayed;

	AdmissionAttempt(WorkspaceId workspace, UniformRandomProvider random) {
		this.workspace = workspace;
		this.random = random;
	}

	WorkspaceId workspace() {
		return this.workspace;
	}

	CompletableFuture<Admission> result() {
		return this.result;
	}

	Set<InstanceId> queriedPeers() {
		return this.queriedPeers;
	}

	Set<InstanceId> forwardedTo() {
		return this.forwardedTo;
	}

	int randomIndex(int size) {
		return this.random.nextInt(size);
	}

	/**
	 * Marks the start of a wait for tokens of other holders. A request waits at most
	 * once, and once more after it was delayed.
	 * @return whether the request may wait
	 */
	boolean tryStartTokenWait() {
		boolean isFirst = !this.hasWaitedForTokens;
		this.hasWaitedForTokens = true;
		return isFirst;
	}

	/**
	 * Marks the request as delayed and allows it to query all holders once more.
	 */
	void markDelayed() {
		this.isDelayed = true;
		this.hasWaitedForTokens = false;
		this.queriedPeers.clear();
	}

	boolean isDelayed() {
		return this.isDelayed;
	}

	void recordDecision(AdmissionInputs inputs, AdmissionStep step) {
		this.lastDecision = new AdmissionDecision(inputs, step);
	}

	boolean isDone() {
		return this.result.isDone();
	}

	void admit(long remaining, String rule) {
		this.result.complete(new Admission(true, 0, remaining, rule, this.lastDecision));
	}

	void reject(long retryAfterMs, String rule) {
		this.result.complete(new Admission(false, retryAfterMs, 0, rule, this.lastDecision));
	}

}
