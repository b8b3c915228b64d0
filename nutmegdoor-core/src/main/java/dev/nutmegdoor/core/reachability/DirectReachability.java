package dev.nutmegdoor.core.reachability;

import java.util.HashMap;
import java.util.Map;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Determines whether this instance reaches the replicas itself. A replica that refuses
 * its connections but accepts those of another instance is alive, so the path to it is
 * interrupted. If that is so for several replicas and none gives a sign of life, this
 * instance is isolated from all of them. Not thread-safe.
 */
public final class DirectReachability {

	/**
	 * Number of replicas that are reached only through another instance, from which on
	 * this instance is isolated. A partition may concern a single replica.
	 */
	private static final int ISOLATED_AFTER_REPLICAS = 2;

	/**
	 * Time in milliseconds for which a replica is not tried directly after only another
	 * instance has reached it.
	 */
	private static final long DETOUR_MS = 1_000;

	/** Period in milliseconds in which an isolated instance tries a direct connection. */
	private static final long RETRY_PERIOD_MS = 500;

	private final EventLog events;

	private final Map<UpstreamId, Detour> detours = new HashMap<>();

	private long lastContactMs = Long.MIN_VALUE;

	private long retryAtMs;

	private volatile boolean isIsolated;

	public DirectReachability(EventLog events) {
		this.events = events;
	}

	/**
	 * Returns whether this instance reaches no replica itself. May be called from any
	 * thread.
	 * @return {@code true} until a direct connection has been established
	 */
	public boolean isIsolated() {
		return this.isIsolated;
	}

	/**
	 * Returns whether a replica is to be reached directly.
	 * @param replica the replica
	 * @param nowMs current time in milliseconds
	 * @return {@code false} if another instance is needed to reach it
	 */
	public boolean isDirect(UpstreamId replica, long nowMs) {
		Detour detour = this.detours.get(replica);
		return !this.isIsolated && (detour == null || nowMs >= detour.untilMs);
	}

	/**
	 * Returns whether an isolated instance is to try a direct connection now, which
	 * counts as tried then.
	 * @param nowMs current time in milliseconds
	 * @return {@code true} at most once in each period
	 */
	public boolean startRetry(long nowMs) {
		if (!this.isIsolated || nowMs < this.retryAtMs) {
			return false;
		}
		this.retryAtMs = nowMs + RETRY_PERIOD_MS;
		return true;
	}

	/**
	 * Returns whether any replica has given a sign of life on a direct connection.
	 * @param sinceMs time in milliseconds
	 * @return {@code true} if the last one came after this time
	 */
	public boolean hasContactSince(long sinceMs) {
		return this.lastContactMs > sinceMs;
	}

	/**
	 * Records bytes that a replica sent on a direct connection.
	 * @param nowMs current time in milliseconds
	 */
	public void recordContact(long nowMs) {
		this.lastContactMs = nowMs;
	}

	/**
	 * Records a direct connection to a replica, which ends the isolation. Connections
	 * that were established earlier may outlive a partition.
	 * @param replica the replica
	 * @param nowMs current time in milliseconds
	 */
	public void recordConnected(UpstreamId replica, long nowMs) {
		recordContact(nowMs);
		this.detours.remove(replica);
		if (this.isIsolated) {
			this.isIsolated = false;
			this.detours.clear();
			this.events.record("replicas.reached", "replica", replica);
		}
	}

	/**
	 * Records a replica that another instance reaches while this one does not.
	 * @param replica the replica
	 * @param failedSinceMs time in milliseconds at which the direct connection was tried
	 * @param nowMs current time in milliseconds
	 */
	public void recordDetour(UpstreamId replica, long failedSinceMs, long nowMs) {
		this.detours.values().removeIf((detour) -> nowMs >= detour.untilMs);
		this.detours.put(replica, new Detour(failedSinceMs, nowMs + DETOUR_MS));
		boolean isWithoutContact = this.detours.values()
			.stream()
			.noneMatch((detour) -> hasContactSince(detour.failedSinceMs));
		if (!this.isIsolated && isWithoutContact && this.detours.size() >= ISOLATED_AFTER_REPLICAS) {
			this.isIsolated = true;
			this.retryAtMs = nowMs + RETRY_PERIOD_MS;
			this.events.record("replicas.unreachable", "detours", this.detours.size(), "sinceContactMs",
					(this.lastContactMs == Long.MIN_VALUE) ? -1 : nowMs - this.lastContactMs);
		}
	}

	private record Detour(long failedSinceMs, long untilMs) {

	}

}
