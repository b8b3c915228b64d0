package dev.nutmegdoor.core.ledger;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Tracks the replicas of the ledger and since when each of them has been unreachable.
 * Modified on the control thread; the replicas can be read from any thread.
 */
public final class LedgerMembers {

	private final Map<InstanceId, Long> unreachableSinceMs = new HashMap<>();

	private final Map<InstanceId, Long> forgottenAtMs = new HashMap<>();

	private volatile Map<InstanceId, LedgerMember> members = Map.of();

	private long fingerprint = fingerprintOf(List.of());

	/**
	 * Returns a replica. May be called from any thread.
	 * @param id the instance that runs the replica
	 * @return the replica, or {@code null} if it is not a member
	 */
	public @Nullable LedgerMember member(InstanceId id) {
		return this.members.get(id);
	}

	public Collection<LedgerMember> all() {
		return this.members.values();
	}

	/**
	 * Returns a number that is the same in all processes for the same replicas.
	 * @param members replicas in any order
	 * @return a hash of their identifiers and addresses, never 0
	 */
	public static long fingerprintOf(Collection<LedgerMember> members) {
		long fingerprint = 1;
		for (LedgerMember member : members) {
			fingerprint += LongHashFunction.xx().hashChars(member.id() + " " + member.host() + ":" + member.port());
		}
		return (fingerprint != 0) ? fingerprint : 1;
	}

	public long fingerprint() {
		return this.fingerprint;
	}

	int size() {
		return this.members.size();
	}

	public boolean isReachable(InstanceId id) {
		return !this.unreachableSinceMs.containsKey(id);
	}

	public long unreachableDurationMs(InstanceId id, long nowMs) {
		Long sinceMs = this.unreachableSinceMs.get(id);
		return (sinceMs != null) ? nowMs - sinceMs : 0;
	}

	/**
	 * Records the outcome of a request to a replica, and logs an event when the replica
	 * becomes unreachable or reachable.
	 * @param id the replica
	 * @param error cause of the failure, or {@code null} if the replica replied
	 * @param nowMs current time in milliseconds
	 * @param events log that receives the event
	 */
	public void recordOutcome(InstanceId id, @Nullable Throwable error, long nowMs, EventLog events) {
		if (error == null && this.unreachableSinceMs.remove(id) != null) {
			events.record("ledger.regained", "replica", id);
		}
		else if (error != null && this.unreachableSinceMs.putIfAbsent(id, nowMs) == null) {
			events.record("ledger.lost", "replica", id, "error", String.valueOf(error.getMessage()));
		}
	}

	/**
	 * Adds a replica, or replaces its zone and address.
	 * @param member the replica
	 * @return {@code true} if the replica was not a member before
	 */
	public boolean add(LedgerMember member) {
		if (member.equals(this.members.get(member.id()))) {
			return false;
		}
		Map<InstanceId, LedgerMember> updatedMembers = new HashMap<>(this.members);
		this.forgottenAtMs.remove(member.id());
		boolean isNew = updatedMembers.put(member.id(), member) == null;
		replaceAll(updatedMembers);
		this.unreachableSinceMs.remove(member.id());
		return isNew;
	}

	/**
	 * Merges the list of another replica. The lists of replicas may differ, especially
	 * after a restart. A replica is removed if the other one does not list it and this
	 * instance has been unable to reach it for some time.
	 * @param listedMembers replicas that the other one lists
	 * @param nowMs current time in milliseconds
	 * @param forgetMs time in milliseconds after which an unreachable replica is removed
	 * @param events log that receives an event if the list changes
	 */
	public void merge(Collection<LedgerMember> listedMembers, long nowMs, long forgetMs, EventLog events) {
		boolean isChanged = false;
		for (LedgerMember member : listedMembers) {
			isChanged |= add(member);
		}
		for (LedgerMember member : List.copyOf(all())) {
			if (unreachableDurationMs(member.id(), nowMs) > forgetMs
					&& listedMembers.stream().noneMatch((listed) -> listed.id().equals(member.id()))) {
				remove(member.id());
				this.forgottenAtMs.put(member.id(), nowMs);
				isChanged = true;
			}
		}
		if (isChanged) {
			events.record("ledger.members", "members", all().stream().map(LedgerMember::id).toList());
		}
	}

	/**
	 * Returns whether a replica was removed because another one did not list it, and has
	 * not been added since.
	 * @param sinceMs time in milliseconds from which on removals count
	 * @return {@code true} if the list may lack a replica that is only unreachable
	 */
	public boolean hasForgottenSince(long sinceMs) {
		return this.forgottenAtMs.values().stream().anyMatch((forgottenMs) -> forgottenMs >= sinceMs);
	}

	void remove(InstanceId id) {
		Map<InstanceId, LedgerMember> updatedMembers = new HashMap<>(this.members);
		updatedMembers.remove(id);
		replaceAll(updatedMembers);
		this.unreachableSinceMs.remove(id);
	}

	private void replaceAll(Map<InstanceId, LedgerMember> updatedMembers) {
		this.members = Map.copyOf(updatedMembers);
		this.fingerprint = fingerprintOf(updatedMembers.values());
	}

}
