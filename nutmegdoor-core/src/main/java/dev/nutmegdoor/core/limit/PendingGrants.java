package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Grants of one donor to one receiver that the receiver has not acknowledged.
 */
final class PendingGrants {

	private final InstanceId donor;

	private final InstanceId receiver;

	private final TreeMap<Long, ShareGrant> grants = new TreeMap<>();

	private long durableSequence;

	private boolean isSending;

	private long nextFinalCheckMs;

	PendingGrants(InstanceId donor, InstanceId receiver) {
		this.donor = donor;
		this.receiver = receiver;
	}

	InstanceId donor() {
		return this.donor;
	}

	InstanceId receiver() {
		return this.receiver;
	}

	void add(ShareGrant grant) {
		this.grants.put(grant.sequence(), grant);
	}

	/**
	 * Marks a grant and all earlier ones as durably deducted, so that they may be sent.
	 * @param sequence sequence of the grant
	 */
	void markDurable(long sequence) {
		this.durableSequence = Math.max(this.durableSequence, sequence);
	}

	List<ShareGrant> durableGrants() {
		return List.copyOf(this.grants.headMap(this.durableSequence, true).values());
	}

	List<ShareGrant> allGrants() {
		return List.copyOf(this.grants.values());
	}

	boolean isEmpty() {
		return this.grants.isEmpty();
	}

	/**
	 * Removes the grants that the receiver has recorded.
	 * @param sequence highest sequence to remove
	 * @return the removed grants by ascending sequence
	 */
	List<ShareGrant> removeUpTo(long sequence) {
		List<ShareGrant> removed = new ArrayList<>(this.grants.headMap(sequence, true).values());
		this.grants.headMap(sequence, true).clear();
		return removed;
	}

	boolean isSending() {
		return this.isSending;
	}

	void setSending(boolean isSending) {
		this.isSending = isSending;
	}

	/**
	 * Starts a check of the receiver's final holdings unless one was started recently.
	 * @param nowMs current time in milliseconds
	 * @param periodMs minimum time between two checks in milliseconds
	 * @return whether the caller must run the check
	 */
	boolean tryStartFinalCheck(long nowMs, long periodMs) {
		if (nowMs < this.nextFinalCheckMs) {
			return false;
		}
		this.nextFinalCheckMs = nowMs + periodMs;
		return true;
	}

}
