package dev.nutmegdoor.core.limit;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.lease.InstanceLease;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Owns the buckets of this instance. Every change of units and tokens is made here and
 * checked against {@link Invariant#RATE_LIMIT}. Used by the control thread only.
 */
final class LocalShares {

	private final TimerService timer;

	private final ConfigurationView configuration;

	private final InstanceLease lease;

	private final InvariantRegistry invariants;

	private final StepListener stepListener;

	private final AdmissionListener admissionListener;

	private final LimitSettings settings;

	private final Map<WorkspaceId, WorkspaceShare> shares = new TreeMap<>();

	LocalShares(TimerService timer, ConfigurationView configuration, InstanceLease lease, InvariantRegistry invariants,
			StepListener stepListener, AdmissionListener admissionListener, LimitSettings settings) {
		this.timer = timer;
		this.configuration = configuration;
		this.lease = lease;
		this.invariants = invariants;
		this.stepListener = stepListener;
		this.admissionListener = admissionListener;
		this.settings = settings;
		configuration.subscribe(this::reconfigure);
	}

	Collection<WorkspaceShare> shares() {
		return List.copyOf(this.shares.values());
	}

	/**
	 * Returns the state of a workspace with its bucket refilled up to now. Creates an
	 * empty bucket on the first call.
	 * @param workspace workspace, which need not be configured
	 * @return mutable state of the workspace
	 */
	WorkspaceShare share(WorkspaceId workspace) {
		WorkspaceShare share = this.shares.get(workspace);
		if (share == null) {
			share = new WorkspaceShare(workspace, limitOf(this.configuration.current(), workspace), this.timer.nowMs());
			this.shares.put(workspace, share);
		}
		refill(share);
		return share;
	}

	boolean isLeaseValid() {
		return this.lease.isValid();
	}

	void refillAll() {
		this.shares.values().forEach(this::refill);
	}

	/**
	 * Takes one token if the bucket has one and the lease is valid.
	 * @param share state of the workspace
	 * @return whether a token was taken
	 */
	boolean takeToken(WorkspaceShare share) {
		refill(share);
		if (!share.bucket().hasToken()) {
			return false;
		}
		this.stepListener.reached(Step.ADMIT);
		if (!this.lease.isValid()) {
			return false;
		}
		share.setBucket(share.bucket().takeToken());
		checkInvariant(share, this.lease.isValid() && share.bucket().tokensMicro() >= 0,
				"admission without a lease or token");
		this.admissionListener.admitted(share.workspace());
		return true;
	}

	void deduct(WorkspaceShare share, long units, long tokensMicro) {
		refill(share);
		share.setBucket(share.bucket().remove(units, tokensMicro, share.limit()));
		checkInvariant(share, units >= 0 && tokensMicro >= 0 && tokensMicro <= share.limit().capacityMicro(units),
				"grant with more tokens than its capacity");
	}

	void credit(WorkspaceShare share, long units, long tokensMicro) {
		refill(share);
		long cappedMicro = Math.min(tokensMicro, share.limit().capacityMicro(units));
		share.setBucket(share.bucket().add(units, cappedMicro, share.limit()));
		checkInvariant(share, units >= 0, "grant of a negative share");
	}

	/**
	 * Empties all buckets. Called when this instance was fenced, because its units are
	 * reassigned.
	 */
	void clear() {
		long nowMs = this.timer.nowMs();
		this.shares.values().forEach((share) -> share.setBucket(Bucket.empty(nowMs)));
	}

	void checkInvariant(WorkspaceShare share, boolean isSatisfied, String rule) {
		Bucket bucket = share.bucket();
		boolean isWithinBounds = bucket.units() >= 0 && bucket.units() <= Limit.SHARE_UNITS && bucket.tokensMicro() >= 0
				&& bucket.tokensMicro() <= share.limit().capacityMicro(bucket.units());
		this.invariants.check(Invariant.RATE_LIMIT, isSatisfied && isWithinBounds,
				() -> rule + ": workspace=" + share.workspace() + " bucket=" + bucket);
	}

	private void refill(WorkspaceShare share) {
		share.setBucket(share.bucket().refill(share.limit(), this.timer.nowMs(), this.settings.maxRefillGapMs()));
	}

	private void reconfigure(Configuration changed) {
		for (WorkspaceShare share : this.shares.values()) {
			// The time up to now is refilled at the old rate.
			refill(share);
			share.setLimit(limitOf(changed, share.workspace()));
			refill(share);
			checkInvariant(share, true, "configuration change");
		}
	}

	private static Limit limitOf(Configuration configuration, WorkspaceId workspace) {
		Workspace configured = configuration.workspaces().get(workspace);
		return (configured != null) ? Limit.of(configured) : Limit.NONE;
	}

}
