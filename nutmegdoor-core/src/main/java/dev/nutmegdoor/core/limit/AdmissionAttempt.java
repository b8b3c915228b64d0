package dev.nutmegdoor.core.limit;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * One request for admission in progress.
 */
final class AdmissionAttempt {

	private final WorkspaceId workspace;

	private final UniformRandomProvider random;

	private final CompletableFuture<Admission> result = new CompletableFuture<>();

	private final Set<InstanceId> asked = new HashSet<>();

	private final Set<InstanceId> forwardedTo = new HashSet<>();

	private boolean gathered;

	private boolean delayed;

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

	Set<InstanceId> asked() {
		return this.asked;
	}

	Set<InstanceId> forwardedTo() {
		return this.forwardedTo;
	}

	int pick(int size) {
		return this.random.nextInt(size);
	}

	/**
	 * Starts to wait for tokens, which each request does at most once.
	 * @return whether this is the first time
	 */
	boolean startGather() {
		boolean isFirst = !this.gathered;
		this.gathered = true;
		return isFirst;
	}

	/**
	 * Notes that the request was held back; it then asks the holders once more.
	 */
	void delayed() {
		this.delayed = true;
		this.gathered = false;
		this.asked.clear();
	}

	boolean isDelayed() {
		return this.delayed;
	}

	boolean isDone() {
		return this.result.isDone();
	}

	void admit(long remaining, String rule) {
		this.result.complete(new Admission(true, 0, remaining, rule));
	}

	void refuse(long retryAfterMs, String rule) {
		this.result.complete(new Admission(false, retryAfterMs, 0, rule));
	}

}
