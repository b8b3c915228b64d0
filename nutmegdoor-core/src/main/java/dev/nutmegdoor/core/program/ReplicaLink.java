package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Replication state of one replica of a partition, tracked by the owner.
 */
final class ReplicaLink {

	/** A single lost message does not indicate a failed replica. */
	private static final int FAILURES_UNTIL_UNREACHABLE = 2;

	private final InstanceId replica;

	private final Map<ProgramId, Integer> acknowledgedSequences = new HashMap<>();

	private final Set<ProgramId> unacknowledgedRemovals = new HashSet<>();

	private final Set<ProgramId> pendingPrograms = new HashSet<>();

	private boolean isHandshakeComplete;

	private boolean isInFlight;

	private int consecutiveFailures;

	private long unresponsiveSinceMs = Long.MAX_VALUE;

	ReplicaLink(InstanceId replica) {
		this.replica = replica;
	}

	InstanceId replica() {
		return this.replica;
	}

	int acknowledgedSequence(ProgramId program) {
		return this.acknowledgedSequences.getOrDefault(program, 0);
	}

	void setAcknowledgedSequence(ProgramId program, int sequence) {
		this.acknowledgedSequences.put(program, sequence);
	}

	void markPending(ProgramId program) {
		this.pendingPrograms.add(program);
	}

	void remove(ProgramId program) {
		this.acknowledgedSequences.remove(program);
		this.pendingPrograms.remove(program);
		this.unacknowledgedRemovals.add(program);
	}

	boolean isSynced() {
		return this.isHandshakeComplete && this.pendingPrograms.isEmpty() && this.unacknowledgedRemovals.isEmpty();
	}

	/**
	 * Returns whether the replica has reported which programs it stores. It may store
	 * programs from an earlier epoch that have been removed since.
	 * @return {@code false} if the next append must request this report
	 */
	boolean isHandshakeComplete() {
		return this.isHandshakeComplete;
	}

	void completeHandshake() {
		this.isHandshakeComplete = true;
	}

	boolean isReachable() {
		return this.consecutiveFailures < FAILURES_UNTIL_UNREACHABLE;
	}

	long unresponsiveForMs(long nowMs) {
		return (this.unresponsiveSinceMs == Long.MAX_VALUE) ? 0 : nowMs - this.unresponsiveSinceMs;
	}

	boolean isReadyToSend() {
		return !this.isInFlight && (!this.isHandshakeComplete || !this.pendingPrograms.isEmpty()
				|| !this.unacknowledgedRemovals.isEmpty() || this.consecutiveFailures > 0);
	}

	List<ProgramId> pendingRemovals() {
		return new ArrayList<>(this.unacknowledgedRemovals);
	}

	List<LogEntry> nextBatch(Map<ProgramId, LogChain> chains, int maxEntries) {
		List<LogEntry> batch = new ArrayList<>();
		for (ProgramId program : this.pendingPrograms.stream()
			.sorted((a, b) -> a.toString().compareTo(b.toString()))
			.toList()) {
			LogChain chain = chains.get(program);
			if (chain != null && batch.size() < maxEntries) {
				batch.addAll(chain.after(acknowledgedSequence(program), maxEntries - batch.size()));
			}
		}
		return batch;
	}

	void markSent() {
		this.isInFlight = true;
	}

	void handleAnswer(AppendAnswer answer, List<ProgramId> removedPrograms, Map<ProgramId, LogChain> chains) {
		this.isInFlight = false;
		this.consecutiveFailures = 0;
		this.unresponsiveSinceMs = Long.MAX_VALUE;
		this.unacknowledgedRemovals.removeAll(removedPrograms);
		answer.heads().forEach((program, head) -> {
			ProgramId id = ProgramId.parse(program);
			if (chains.containsKey(id)) {
				setAcknowledgedSequence(id, head);
			}
		});
		answer.held()
			.stream()
			.filter((program) -> !chains.containsKey(program))
			.forEach(this.unacknowledgedRemovals::add);
		this.pendingPrograms.removeIf((program) -> {
			LogChain chain = chains.get(program);
			return chain == null || acknowledgedSequence(program) >= chain.size();
		});
	}

	void handleFailure(long nowMs) {
		this.isInFlight = false;
		this.consecutiveFailures++;
		this.unresponsiveSinceMs = Math.min(this.unresponsiveSinceMs, nowMs);
	}

}
