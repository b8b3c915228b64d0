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
 * split into units that are only ever moved between instances, so that all buckets
 * together admit at most burst plus rate times T in any interval T.
 */
public final class LimitController implements RateLimiter {

	private final TimerService timer;

	private final PeerTransport transport;

	private final UniformRandomProvider random;

	private final InstanceLease lease;

	private final StepListener steps;

	private final LimitSettings settings;

	private final LocalShares book;

	private final ShareTransfers transfers;

	private final HolderSelector selector;

	private final InitialShareAssignment assignment;

	private final Admissions admissions;

	private final ShareRebalancer rebalancer;

	private final Set<WorkspaceId> touched = new HashSet<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private boolean draining;

	public LimitController(TimerService timer, PeerTransport transport, ObjectStore store, MembershipView membership,
			InstanceLease lease, LeaseHoldings holdings, ConfigurationView configuration, UniformRandomProvider random,
			InvariantRegistry invariants, StepListener steps, EventLog eventLog, AdmissionListener listener,
			LimitSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.random = random;
		this.lease = lease;
		this.steps = steps;
		this.settings = settings;
		this.book = new LocalShares(timer, configuration, lease, invariants, steps, listener, settings);
		this.transfers = new ShareTransfers(timer, transport, membership, holdings, this.book, steps, eventLog);
		this.selector = new HolderSelector(membership);
		this.assignment = new InitialShareAssignment(transport.self(), timer, store, holdings, random, this.book,
				this.transfers, this.selector);
		this.admissions = new Admissions(timer, transport, membership, this.book, this.selector, this.assignment,
				settings);
		this.rebalancer = new ShareRebalancer(timer, transport, membership, random, this.book, this.transfers,
				this.selector, this.admissions, settings);
	}

	/**
	 * Starts to answer other instances; to be called after the lease has started.
	 */
	public void start() {
		this.transfers.start((share) -> {
			share.gatherUntil(this.timer.nowMs());
			share.blockUntil(this.timer.nowMs());
			share.wake();
		});
		this.transport.subscribe(AdmitRequest.class, (from, message) -> answer(message));
		this.transport.subscribe(ShareRequest.class, this.rebalancer::answer);
		this.lease.subscribe((state) -> {
			if (state == LeaseState.FENCED) {
				this.book.clear();
				this.transfers.clear();
			}
		});
		this.timer.subscribe(this.settings.tickMs(), () -> {
			this.book.refillAll();
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
	 * Hands all shares over; the membership must have been told before, so that no other
	 * instance chooses this one as a holder.
	 * @return completes when this instance holds nothing any more
	 */
	public CompletableFuture<Void> drain() {
		if (!this.draining) {
			this.steps.reached(Step.DRAIN);
			this.draining = true;
			continueDrain();
		}
		return this.drained;
	}

	/**
	 * Returns the state of this controller.
	 * @return a copy
	 */
	public LimitDump dump() {
		List<WorkspaceLimitDump> workspaces = new ArrayList<>();
		for (WorkspaceShare share : this.book.shares()) {
			workspaces.add(new WorkspaceLimitDump(share.workspace(), share.bucket().units(),
					share.bucket().tokensMicro(), share.limit(), share.demand().milli(this.timer.nowMs()),
					this.transfers.pendingUnits(share.workspace())));
		}
		return new LimitDump(this.book.isLeaseValid(), this.draining, this.transfers.pendingCount(), workspaces);
	}

	private CompletableFuture<Admission> admit(WorkspaceId workspace, boolean mayForward) {
		AdmissionAttempt attempt = new AdmissionAttempt(workspace, this.random);
		WorkspaceShare share = this.book.share(workspace);
		boolean isHolder = this.selector.isHolder(workspace, share.limit().burst());
		boolean hasToken = share.bucket().hasToken() && this.book.isLeaseValid();
		if (mayForward && !isHolder && !hasToken) {
			this.admissions.forward(attempt);
			return attempt.result();
		}
		share.demand().count(this.timer.nowMs());
		if (this.touched.contains(workspace) || share.limit().burst() == 0) {
			this.admissions.step(attempt);
			return attempt.result();
		}
		// The first request waits for the share to be created.
		this.assignment.ensure(workspace).thenRun(() -> {
			if (this.assignment.isAssigned(workspace)) {
				this.touched.add(workspace);
			}
			this.admissions.step(attempt);
		});
		return attempt.result();
	}

	private CompletableFuture<AdmitAnswer> answer(AdmitRequest request) {
		if (request.mayAskOthers()) {
			return admit(request.workspace(), false).thenApply((admission) -> toAnswer(request, admission));
		}
		WorkspaceShare share = this.book.share(request.workspace());
		boolean isAdmitted = this.book.take(share);
		return CompletableFuture
			.completedFuture(toAnswer(request, new Admission(isAdmitted, 0, 0, isAdmitted ? "own_bucket" : "empty")));
	}

	private AdmitAnswer toAnswer(AdmitRequest request, Admission admission) {
		WorkspaceShare share = this.book.share(request.workspace());
		return new AdmitAnswer(admission.isAdmitted(), admission.retryAfterMs(), admission.rule(),
				share.bucket().units(), share.bucket().tokensMicro(), share.isOverloaded(this.timer.nowMs()));
	}

	private void continueDrain() {
		if (!this.draining || this.drained.isDone()) {
			return;
		}
		boolean isEmpty = this.transfers.pendingCount() == 0;
		for (WorkspaceShare share : this.book.shares()) {
			isEmpty = isEmpty && share.bucket().units() == 0;
			if (this.book.isLeaseValid()) {
				this.rebalancer.transferAll(share);
			}
		}
		if (isEmpty) {
			this.drained.complete(null);
		}
	}

}
