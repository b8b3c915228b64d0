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
 * What the owner of a partition knows about one replica.
 */
final class ReplicaLink {

	/** One lost message is no sign of a failed replica. */
	private static final int FAILURES_UNTIL_UNREACHABLE = 2;

	private final InstanceId replica;

	private final Map<ProgramId, Integer> acknowledged = new HashMap<>();

	private final Set<ProgramId> removed = new HashSet<>();

	private final Set<ProgramId> pending = new HashSet<>();

	private boolean isHandshakeComplete;

	private boolean isInFlight;

	private int failures;

	private long silentSinceMs = Long.MAX_VALUE;

	ReplicaLink(InstanceId replica) {
		this.replica = replica;
	}

	InstanceId replica() {
		return this.replica;
	}

	int acknowledged(ProgramId program) {
		return this.acknowledged.getOrDefault(program, 0);
	}

	void setAcknowledged(ProgramId program, int sequence) {
		this.acknowledged.put(program, sequence);
	}

	void markPending(ProgramId program) {
		this.pending.add(program);
	}

	void remove(ProgramId program) {
		this.acknowledged.remove(program);
		this.pending.remove(program);
		this.removed.add(program);
	}

	boolean isSynced() {
		return this.isHandshakeComplete && this.pending.isEmpty() && this.removed.isEmpty();
	}

	/**
	 * Returns whether the replica has told which programs it holds; it may hold some of
	 * an earlier time that have ended since.
	 * @return whether no greeting is needed
	 */
	boolean isHandshakeComplete() {
		return this.isHandshakeComplete;
	}

	void completeHandshake() {
		this.isHandshakeComplete = true;
	}

	boolean isReachable() {
		return this.failures < FAILURES_UNTIL_UNREACHABLE;
	}

	long silentMs(long nowMs) {
		return (this.silentSinceMs == Long.MAX_VALUE) ? 0 : nowMs - this.silentSinceMs;
	}

	boolean isIdle() {
		return !this.isInFlight && (!this.isHandshakeComplete || !this.pending.isEmpty() || !this.removed.isEmpty()
				|| this.failures > 0);
	}

	List<ProgramId> removedPrograms() {
		return new ArrayList<>(this.removed);
	}

	List<LogEntry> nextBatch(Map<ProgramId, LogChain> chains, int limit) {
		List<LogEntry> batch = new ArrayList<>();
		for (ProgramId program : this.pending.stream()
			.sorted((a, b) -> a.toString().compareTo(b.toString()))
			.toList()) {
			LogChain chain = chains.get(program);
			if (chain != null && batch.size() < limit) {
				batch.addAll(chain.after(acknowledged(program), limit - batch.size()));
			}
		}
		return batch;
	}

	void sent() {
		this.isInFlight = true;
	}

	void answered(AppendAnswer answer, List<ProgramId> removedPrograms, Map<ProgramId, LogChain> chains) {
		this.isInFlight = false;
		this.failures = 0;
		this.silentSinceMs = Long.MAX_VALUE;
		this.removed.removeAll(removedPrograms);
		answer.heads().forEach((program, head) -> {
			ProgramId id = ProgramId.parse(program);
			if (chains.containsKey(id)) {
				setAcknowledged(id, head);
			}
		});
		answer.held().stream().filter((program) -> !chains.containsKey(program)).forEach(this.removed::add);
		this.pending.removeIf((program) -> {
			LogChain chain = chains.get(program);
			return chain == null || acknowledged(program) >= chain.size();
		});
	}

	void failed(long nowMs) {
		this.isInFlight = false;
		this.failures++;
		this.silentSinceMs = Math.min(this.silentSinceMs, nowMs);
	}

}
