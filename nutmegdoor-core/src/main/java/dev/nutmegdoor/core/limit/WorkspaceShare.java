package dev.nutmegdoor.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Mutable state of one workspace on this instance: its bucket, its demand, the last known
 * balances of other holders and the waiting requests. Used by the control thread only.
 */
final class WorkspaceShare {

	private final WorkspaceId workspace;

	private final DemandMeter demand;

	private final Map<InstanceId, PeerBalance> peerBalances = new HashMap<>();

	private final Map<InstanceId, Long> unresponsiveUntilMs = new HashMap<>();

	private final Deque<BooleanSupplier> waiters = new ArrayDeque<>();

	private Limit limit;

	private Bucket bucket;

	private long blockedUntilMs = Long.MIN_VALUE;

	private long gatherUntilMs = Long.MIN_VALUE;

	WorkspaceShare(WorkspaceId workspace, Limit limit, long nowMs) {
		this.workspace = workspace;
		this.limit = limit;
		this.bucket = Bucket.empty(nowMs);
		this.demand = new DemandMeter(nowMs);
	}

	WorkspaceId workspace() {
		return this.workspace;
	}

	Limit limit() {
		return this.limit;
	}

	void setLimit(Limit limit) {
		this.limit = limit;
	}

	Bucket bucket() {
		return this.bucket;
	}

	void setBucket(Bucket bucket) {
		this.bucket = bucket;
	}

	DemandMeter demand() {
		return this.demand;
	}

	Map<InstanceId, PeerBalance> peerBalances() {
		return this.peerBalances;
	}

	/**
	 * Adjusts the last known balance of a peer after a transfer. Does nothing if the
	 * balance is unknown.
	 * @param peer other holder in the transfer
	 * @param units units that the peer gained; negative if it lost them
	 * @param tokensMicro micro-tokens that the peer gained; negative if it lost them
	 * @param nowMs current time in milliseconds
	 */
	void adjustPeerBalance(InstanceId peer, long units, long tokensMicro, long nowMs) {
		PeerBalance knownBalance = this.peerBalances.get(peer);
		if (knownBalance != null) {
			long adjustedMicro = knownBalance.estimateMicro(this.limit, nowMs) + tokensMicro;
			this.peerBalances.put(peer, new PeerBalance(Math.max(0, knownBalance.units() + units),
					Math.max(0, adjustedMicro), knownBalance.isOverloaded(), nowMs));
		}
	}

	boolean isResponsive(InstanceId peer, long nowMs) {
		return this.unresponsiveUntilMs.getOrDefault(peer, Long.MIN_VALUE) <= nowMs;
	}

	void setUnresponsive(InstanceId peer, long untilMs) {
		this.unresponsiveUntilMs.put(peer, untilMs);
		this.peerBalances.remove(peer);
	}

	boolean isBlocked(long nowMs) {
		return nowMs < this.blockedUntilMs;
	}

	void setBlockedUntilMs(long untilMs) {
		this.blockedUntilMs = untilMs;
	}

	boolean isGathering(long nowMs) {
		return nowMs < this.gatherUntilMs;
	}

	void setGatherUntilMs(long untilMs) {
		this.gatherUntilMs = untilMs;
	}

	/**
	 * Returns whether the local demand exceeds 1.5 times the refill rate of the local
	 * bucket by more than 2 requests per second. The constant term keeps a few requests
	 * at a low rate from being classified as overload.
	 * @param nowMs current time in milliseconds
	 * @return {@code true} if the local demand alone exhausts the bucket
	 */
	boolean isOverloaded(long nowMs) {
		return this.demand.rateMilli(nowMs) > this.limit.rateMilli(this.bucket.units()) * 3 / 2 + 2000;
	}

	/**
	 * Adds a request that waits for tokens.
	 * @param attempt tries to take a token; returns whether the request is completed
	 */
	void addWaiter(BooleanSupplier attempt) {
		this.waiters.addLast(attempt);
	}

	/**
	 * Completes waiting requests in order of arrival until one finds no token.
	 */
	void serveWaiters() {
		while (!this.waiters.isEmpty() && this.waiters.getFirst().getAsBoolean()) {
			this.waiters.removeFirst();
		}
	}

	void removeWaiter(BooleanSupplier attempt) {
		this.waiters.remove(attempt);
	}

}
