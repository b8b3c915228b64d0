package dev.nutmegdoor.core.ledger;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * The replicas of the ledger that a process knows, with the time of their last answer.
 * Changed on the control thread; addresses are read from any thread.
 */
public final class LedgerMembers {

	private final Map<InstanceId, Long> unreachableSinceMs = new HashMap<>();

	private volatile Map<InstanceId, LedgerMember> members = Map.of();

	/**
	 * Returns a replica; may be called from any thread.
	 * @param id the instance
	 * @return the replica, or {@code null} if it is not known
	 */
	public @Nullable LedgerMember member(InstanceId id) {
		return this.members.get(id);
	}

	public Collection<LedgerMember> all() {
		return this.members.values();
	}

	int size() {
		return this.members.size();
	}

	boolean isReachable(InstanceId id) {
		return !this.unreachableSinceMs.containsKey(id);
	}

	long unreachableDurationMs(InstanceId id, long nowMs) {
		Long sinceMs = this.unreachableSinceMs.get(id);
		return (sinceMs != null) ? nowMs - sinceMs : 0;
	}

	/**
	 * Notes the outcome of a message to a replica, and logs when it is lost or regained.
	 * @param id the replica
	 * @param error why it did not answer, or {@code null} if it did
	 * @param nowMs time in milliseconds
	 * @param events receives the change
	 */
	void recordOutcome(InstanceId id, @Nullable Throwable error, long nowMs, EventLog events) {
		if (error == null && this.unreachableSinceMs.remove(id) != null) {
			events.record("ledger.regained", "replica", id);
		}
		else if (error != null && this.unreachableSinceMs.putIfAbsent(id, nowMs) == null) {
			events.record("ledger.lost", "replica", id, "error", String.valueOf(error.getMessage()));
		}
	}

	/**
	 * Adds or moves a replica.
	 * @param member the replica
	 * @return whether it was new
	 */
	public boolean add(LedgerMember member) {
		if (member.equals(this.members.get(member.id()))) {
			return false;
		}
		Map<InstanceId, LedgerMember> updatedMembers = new HashMap<>(this.members);
		boolean isNew = updatedMembers.put(member.id(), member) == null;
		this.members = Map.copyOf(updatedMembers);
		this.unreachableSinceMs.remove(member.id());
		return isNew;
	}

	void remove(InstanceId id) {
		Map<InstanceId, LedgerMember> updatedMembers = new HashMap<>(this.members);
		updatedMembers.remove(id);
		this.members = Map.copyOf(updatedMembers);
		this.unreachableSinceMs.remove(id);
	}

}
