package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Grants of one giver to one receiver that are not acknowledged.
 */
final class PendingGrants {

	private final InstanceId giver;

	private final InstanceId receiver;

	private final TreeMap<Long, ShareGrant> grants = new TreeMap<>();

	private long durableSequence;

	private boolean sending;

	private long nextFinalCheckMs;

	PendingGrants(InstanceId giver, InstanceId receiver) {
		this.giver = giver;
		this.receiver = receiver;
	}

	InstanceId giver() {
		return this.giver;
	}

	InstanceId receiver() {
		return this.receiver;
	}

	void add(ShareGrant grant) {
		this.grants.put(grant.sequence(), grant);
	}

	/**
	 * Notes that the deduction of a grant and of all earlier ones is recorded.
	 * @param sequence sequence of the grant
	 */
	void durable(long sequence) {
		this.durableSequence = Math.max(this.durableSequence, sequence);
	}

	List<ShareGrant> sendable() {
		return List.copyOf(this.grants.headMap(this.durableSequence, true).values());
	}

	List<ShareGrant> all() {
		return List.copyOf(this.grants.values());
	}

	boolean isEmpty() {
		return this.grants.isEmpty();
	}

	/**
	 * Removes grants that the receiver has.
	 * @param sequence greatest sequence that it has
	 * @return the removed grants
	 */
	List<ShareGrant> removeUpTo(long sequence) {
		List<ShareGrant> removed = new ArrayList<>(this.grants.headMap(sequence, true).values());
		this.grants.headMap(sequence, true).clear();
		return removed;
	}

	boolean isSending() {
		return this.sending;
	}

	void setSending(boolean isSending) {
		this.sending = isSending;
	}

	boolean isFinalCheckDue(long nowMs, long periodMs) {
		if (nowMs < this.nextFinalCheckMs) {
			return false;
		}
		this.nextFinalCheckMs = nowMs + periodMs;
		return true;
	}

}
