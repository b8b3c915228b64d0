package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * What the callers of a run share: client, balancer, measures, and what operators did to
 * the fleet so far. Sends requests and checks what callers can see of each answer.
 */
final class LoadContext {

	private static final int MAX_ATTEMPTS = 8;

	private static final long MAX_WAIT_MS = 2_000;

	private static final long DEFAULT_WAIT_MS = 100;

	private static final long WITHDRAWAL_NS = 3_000_000_000L;

	private final DemoDeployment deployment;

	private final CallerClient client;

	private final Balancer balancer;

	private final LoadMetrics measures;

	private final UpstreamChecker watch;

	private final InvariantRegistry invariants;

	private final boolean isProgramPinned;

	private final Map<WorkspaceId, RateObservation> rates = new ConcurrentHashMap<>();

	private final Map<WorkspaceId, Long> withdrawnNs = new ConcurrentHashMap<>();

	private final Map<InetSocketAddress, Long> drainedNs = new ConcurrentHashMap<>();

	private final Map<InetSocketAddress, Long> killedNs = new ConcurrentHashMap<>();

	private final AtomicReference<@Nullable ForeignProgram> lastOpened = new AtomicReference<>();

	LoadContext(DemoDeployment deployment, CallerClient client, Balancer balancer, LoadMetrics measures,
			UpstreamChecker watch, InvariantRegistry invariants, boolean isProgramPinned) {
		this.deployment = deployment;
		this.client = client;
		this.balancer = balancer;
		this.measures = measures;
		this.watch = watch;
		this.invariants = invariants;
		this.isProgramPinned = isProgramPinned;
	}

	DemoDeployment deployment() {
		return this.deployment;
	}

	LoadMetrics measures() {
		return this.measures;
	}

	UpstreamChecker watch() {
		return this.watch;
	}

	InvariantRegistry invariants() {
		return this.invariants;
	}

	boolean isProgramPinned() {
		return this.isProgramPinned;
	}

	InetSocketAddress nextAddress() {
		return this.balancer.next();
	}

	RateObservation rateOf(DemoWorkspace workspace) {
		return this.rates.computeIfAbsent(workspace.id(), (id) -> new RateObservation(workspace));
	}

	void withdrawn(WorkspaceId workspace) {
		this.withdrawnNs.put(workspace, System.nanoTime());
	}

	boolean isWithdrawn(WorkspaceId workspace) {
		return this.withdrawnNs.containsKey(workspace);
	}

	void draining(InetSocketAddress address) {
		this.drainedNs.put(address, System.nanoTime());
	}

	void killed(InetSocketAddress address) {
		this.killedNs.put(address, System.nanoTime());
	}

	/**
	 * Remembers a program and returns the one opened before it.
	 * @param program a program with the instance that opened it
	 * @return an earlier program, or {@code null}
	 */
	@Nullable ForeignProgram exchangeOpened(ForeignProgram program) {
		return this.lastOpened.getAndSet(program);
	}

	/**
	 * Sends a request once and checks its outcome.
	 * @param workspace workspace of the caller
	 * @param address instance
	 * @param request the request
	 * @return the outcome
	 */
	CallOutcome sendOnce(DemoWorkspace workspace, InetSocketAddress address, CallerRequest request) {
		RateObservation rate = rateOf(workspace);
		boolean isWithinRate = rate.sending();
		long sentNs = System.nanoTime();
		CallOutcome outcome = this.client.send(address, request);
		long answeredNs = System.nanoTime();
		rate.answered(sentNs, answeredNs, isWithinRate, outcome);
		this.measures.request(outcome);
		checkWithdrawal(workspace.id(), sentNs, answeredNs, outcome);
		checkDrain(address, sentNs, answeredNs, outcome);
		if (outcome.isConnectionFailure() && !this.killedNs.containsKey(address)
				&& !this.drainedNs.containsKey(address)) {
			this.measures.lost();
		}
		return outcome;
	}

	private void checkWithdrawal(WorkspaceId workspace, long sentNs, long answeredNs, CallOutcome outcome) {
		Long sinceNs = this.withdrawnNs.get(workspace);
		if (sinceNs == null || outcome.isConnectionFailure()) {
			return;
		}
		if (sentNs > sinceNs + WITHDRAWAL_NS) {
			this.invariants.check(Invariant.KEY_WITHDRAWAL, outcome.status() == 401,
					() -> "a key worked " + (sentNs - sinceNs) / 1_000_000 + " ms after its withdrawal");
		}
		else if (sentNs < sinceNs && answeredNs > sinceNs) {
			this.invariants.check(Invariant.KEY_WITHDRAWAL, answeredNs <= sinceNs + WITHDRAWAL_NS,
					() -> "an answer ended " + (answeredNs - sinceNs) / 1_000_000 + " ms after the withdrawal");
		}
	}

	private void checkDrain(InetSocketAddress address, long sentNs, long answeredNs, CallOutcome outcome) {
		Long sinceNs = this.drainedNs.get(address);
		if (sinceNs != null && sentNs < sinceNs && answeredNs > sinceNs) {
			this.invariants.check(Invariant.GRACEFUL_SHUTDOWN, !outcome.isConnectionFailure(),
					() -> "a request was interrupted by the drain of " + address);
		}
	}

	/**
	 * Sends a request until it has an outcome that a retry would not change.
	 * @param workspace workspace of the caller
	 * @param pinned instance to stay with, or {@code null}
	 * @param request the request, which may be repeated: it names its turn or idempotency
	 * key, or has no lasting effect
	 * @param isRun tells whether an upstream has seen the request
	 * @return the last outcome
	 * @throws InterruptedException if the run ends
	 */
	CallOutcome send(DemoWorkspace workspace, @Nullable InetSocketAddress pinned, CallerRequest request,
			BooleanSupplier isRun) throws InterruptedException {
		CallOutcome outcome = CallOutcome.failed();
		boolean isCertain = true;
		for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			InetSocketAddress address = (pinned != null) ? pinned : nextAddress();
			outcome = sendOnce(workspace, address, request);
			if (outcome.isNotRun() && isCertain) {
				this.invariants.check(Invariant.NOT_RUN_TRUTH, !isRun.getAsBoolean(),
						() -> "a request refused as not run reached an upstream: " + request.path());
			}
			isCertain &= outcome.isNotRun();
			boolean isRetryable = outcome.isConnectionFailure() || (outcome.isNotRun() && outcome.retryAfterMs() > 0);
			if (!isRetryable || (pinned != null && isGone(pinned))) {
				return outcome;
			}
			Thread
				.sleep((outcome.retryAfterMs() > 0) ? Math.min(MAX_WAIT_MS, outcome.retryAfterMs()) : DEFAULT_WAIT_MS);
		}
		return outcome;
	}

	private boolean isGone(InetSocketAddress address) {
		return this.killedNs.containsKey(address) || this.drainedNs.containsKey(address);
	}

	/**
	 * A program of some workspace.
	 *
	 * @param workspace its workspace
	 * @param id the program
	 * @param address instance that opened it
	 */
	record ForeignProgram(WorkspaceId workspace, ProgramId id, InetSocketAddress address) {

	}

}
