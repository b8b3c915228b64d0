package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.lease.InstanceLease;
import dev.nutmegdoor.core.lease.LeaseHoldings;
import dev.nutmegdoor.core.lease.LeaseState;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Admits requests within the rates of their workspaces. The share of each workspace is
 * divided into a fixed number of units that are transferred between instances, so all
 * buckets together admit at most burst plus rate times T in any interval T. Runs on the
 * control thread.
 */
public final class LimitController implements RateLimiter {

	private final TimerService timer;

	private final PeerTransport transport;

	private final UniformRandomProvider random;

	private final InstanceLease lease;

	private final StepListener stepListener;

	private final LimitSettings settings;

	private final LocalShares localShares;

	private final ShareTransfers transfers;

	private final HolderSelector selector;

	private final InitialShareAssignment assignment;

	private final AdmissionExecutor admissionExecutor;

	private final ShareRebalancer rebalancer;

	private final Set<WorkspaceId> assignedWorkspaces = new HashSet<>();

	private final CompletableFuture<Void> drainCompletion = new CompletableFuture<>();

	private boolean isDraining;

	public LimitController(TimerService timer, PeerTransport transport, ObjectStore store, MembershipView membership,
			InstanceLease lease, LeaseHoldings holdings, ConfigurationView configuration, UniformRandomProvider random,
			InvariantRegistry invariants, StepListener stepListener, EventLog eventLog, AdmissionListener listener,
			LimitSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.random = random;
		this.lease = lease;
		this.stepListener = stepListener;
		this.settings = settings;
		this.localShares = new LocalShares(timer, configuration, lease, invariants, stepListener, listener, settings);
		this.transfers = new ShareTransfers(timer, transport, membership, holdings, this.localShares, stepListener,
				eventLog);
		this.selector = new HolderSelector(membership);
		this.assignment = new InitialShareAssignment(transport.self(), timer, store, holdings, random, this.localShares,
				this.transfers, this.selector);
		this.admissionExecutor = new AdmissionExecutor(timer, transport, membership, this.localShares, this.selector,
				this.assignment, settings);
		this.rebalancer = new ShareRebalancer(timer, transport, membership, random, this.localShares, this.transfers,
				this.selector, this.admissionExecutor, settings);
	}

	/**
	 * Subscribes to messages of other instances, to the lease and to the timer. Must be
	 * called after the lease has started.
	 */
	public void start() {
		this.transfers.start((share) -> {
			share.setGatherUntilMs(this.timer.nowMs());
			share.setBlockedUntilMs(this.timer.nowMs());
			share.serveWaiters();
		});
		this.transport.subscribe(AdmitRequest.class, (from, message) -> handleAdmitRequest(message));
		this.transport.subscribe(ShareRequest.class, this.rebalancer::handleShareRequest);
		this.lease.subscribe((state) -> {
			if (state == LeaseState.FENCED) {
				this.localShares.clear();
				this.transfers.clear();
			}
		});
		this.timer.subscribe(this.settings.tickMs(), () -> {
			this.localShares.refillAll();
			this.transfers.retry();
			continueDrain();
		});
		this.timer.schedule(1 + this.random.nextLong(this.settings.rebalanceMs()),
				() -> this.timer.subscribe(this.settings.rebalanceMs(), this.rebalancer::rebalance));
	}

	@Override
	public CompletableFuture<Admission> admit(WorkspaceId workspace) {
		return admit(workspace, true);
	}

	/**
	 * Transfers all shares to other instances. The membership must report this instance
	 * as leaving before, so that no other instance selects it as a holder.
	 * @return completes when this instance holds no units and all transfers are
	 * acknowledged
	 */
	public CompletableFuture<Void> drain() {
		if (!this.isDraining) {
			this.stepListener.reached(Step.DRAIN);
			this.isDraining = true;
			continueDrain();
		}
		return this.drainCompletion;
	}

	/**
	 * Returns a snapshot of the buckets and of the pending transfers.
	 * @return an immutable copy
	 */
	public LimitDump dump() {
		List<WorkspaceLimitDump> workspaces = new ArrayList<>();
		for (WorkspaceShare share : this.localShares.shares()) {
			workspaces.add(new WorkspaceLimitDump(share.workspace(), share.bucket().units(),
					share.bucket().tokensMicro(), share.limit(), share.demand().rateMilli(this.timer.nowMs()),
					this.transfers.pendingUnits(share.workspace())));
		}
		return new LimitDump(this.localShares.isLeaseValid(), this.isDraining, this.transfers.pendingCount(),
				workspaces);
	}

	private CompletableFuture<Admission> admit(WorkspaceId workspace, boolean mayForward) {
		AdmissionAttempt attempt = new AdmissionAttempt(workspace, this.random);
		WorkspaceShare share = this.localShares.share(workspace);
		boolean isHolder = this.selector.isHolder(workspace, share.limit().burst());
		boolean hasToken = share.bucket().hasToken() && this.localShares.isLeaseValid();
		if (mayForward && !isHolder && !hasToken) {
			this.admissionExecutor.forward(attempt);
			return attempt.result();
		}
		share.demand().recordRequest(this.timer.nowMs());
		if (this.assignedWorkspaces.contains(workspace) || share.limit().burst() == 0) {
			this.admissionExecutor.runStep(attempt);
			return attempt.result();
		}
		// Requests wait for the share until this instance has a record of its creation.
		this.assignment.ensureAssigned(workspace).thenRun(() -> {
			if (this.assignment.isAssigned(workspace)) {
				this.assignedWorkspaces.add(workspace);
			}
			this.admissionExecutor.runStep(attempt);
		});
		return attempt.result();
	}

	private CompletableFuture<AdmitAnswer> handleAdmitRequest(AdmitRequest request) {
		if (request.mayAskOthers()) {
			return admit(request.workspace(), false).thenApply((admission) -> toAnswer(request, admission));
		}
		WorkspaceShare share = this.localShares.share(request.workspace());
		boolean isAdmitted = this.localShares.takeToken(share);
		return CompletableFuture
			.completedFuture(toAnswer(request, new Admission(isAdmitted, 0, 0, isAdmitted ? "own_bucket" : "empty")));
	}

	private AdmitAnswer toAnswer(AdmitRequest request, Admission admission) {
		WorkspaceShare share = this.localShares.share(request.workspace());
		return new AdmitAnswer(admission.isAdmitted(), admission.retryAfterMs(), admission.rule(),
				share.bucket().units(), share.bucket().tokensMicro(), share.isOverloaded(this.timer.nowMs()));
	}

	private void continueDrain() {
		if (!this.isDraining || this.drainCompletion.isDone()) {
			return;
		}
		boolean isEmpty = this.transfers.pendingCount() == 0;
		for (WorkspaceShare share : this.localShares.shares()) {
			isEmpty = isEmpty && share.bucket().units() == 0;
			if (this.localShares.isLeaseValid()) {
				this.rebalancer.transferAll(share);
			}
		}
		if (isEmpty) {
			this.drainCompletion.complete(null);
		}
	}

}
