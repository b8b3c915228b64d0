package dev.nutmegdoor.core.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.placement.CacheEvent;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.placement.Reservation;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Queues calls with weighted fair queueing between workspaces, and dispatches each to a
 * replica once one has capacity. All methods must be called on the control thread.
 */
public final class ScheduledCallRunner implements CallRunner {

	private static final long SWEEP_PERIOD_MS = 100;

	private static final int SWEEPS_PER_RELEASE_RETRY = 20;

	private final ScheduleSettings settings;

	private final PlacementCosts costs;

	private final CallCosts callCosts;

	private final ReplicaIndex index;

	private final TimerService timer;

	private final UpstreamClients upstreamClients;

	private final Observers observers;

	private final DecisionLog decisions;

	private final DrainChecker drainChecker;

	private final Dispatcher dispatcher;

	private final ProgramAccounts accounts = new ProgramAccounts();

	private final CallClassifier classifier;

	private final CacheReleaser cacheReleaser;

	private final RetryBudget retryBudget;

	private final Map<String, FairQueue> queuesByPool = new TreeMap<>();

	private final Map<RefusalReason, Integer> refusalCounts = new TreeMap<>();

	private long nextSequence;

	private long sweepCount;

	private boolean isDispatching;

	private boolean isSweepScheduled;

	/**
	 * Creates the runner, applies the current configuration and subscribes to new
	 * versions.
	 * @param settings settings of queueing and dispatch
	 * @param costs cost model of the replicas
	 * @param index state of the replicas; the caller reports their load and cache events
	 * @param timer source of time
	 * @param configuration active configuration
	 * @param upstreamClients clients of the upstreams
	 * @param programs source of the scheduling properties of programs
	 * @param observers receive decisions, invariant checks and steps
	 */
	public ScheduledCallRunner(ScheduleSettings settings, PlacementCosts costs, ReplicaIndex index, TimerService timer,
			ConfigurationView configuration, UpstreamClients upstreamClients, ProgramSchedulingInfoSource programs,
			Observers observers) {
		this.settings = settings;
		this.costs = costs;
		this.callCosts = new CallCosts(costs);
		this.index = index;
		this.timer = timer;
		this.upstreamClients = upstreamClients;
		this.observers = observers;
		this.decisions = new DecisionLog(observers.decisions(), timer);
		this.drainChecker = new DrainChecker(observers.invariants());
		this.dispatcher = new Dispatcher(this, timer, configuration, this.decisions, this.drainChecker);
		this.classifier = new CallClassifier(settings, configuration, programs, this.accounts);
		this.cacheReleaser = new CacheReleaser(index, upstreamClients.engines());
		this.retryBudget = new RetryBudget(settings.retryShare());
		apply(configuration.current());
		configuration.subscribe(this::apply);
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		long nowMs = this.timer.nowMs();
		String pool = CallCosts.poolOf(request);
		FairQueue queue = this.queuesByPool.computeIfAbsent(pool,
				(name) -> new FairQueue(this.settings.firstDispatchGapMs()));
		QueueInput input = new QueueInput(this.index.hasPool(pool), isResumed(request),
				queue.queuedCalls(request.workspace()), this.settings.maxQueuedPerWorkspace(),
				Math.max(queue.expectedWaitMs(request.workspace()), this.index.rateWaitMs(pool)),
				this.callCosts.minServiceMs(request), request.timeoutMs(), this.index.leastLoad(pool), maxLoad(request),
				this.index.coldWaitMs(pool, queue.size()));
		Refusal refusal = input.decide();
		if (refusal != null) {
			this.refusalCounts.merge(refusal.reason(), 1, Integer::sum);
			this.decisions.recordRefusal(request, input, refusal);
			listener.refused(refusal);
			return () -> {
			};
		}
		List<Long> hashes = (request.payload() instanceof ModelCall model)
				? this.upstreamClients.hasher().hash(request.program(), model) : List.of();
		QueuedCall call = new QueuedCall(request, listener, pool, this.classifier.classify(request, nowMs), hashes,
				this.nextSequence++, nowMs);
		queue.add(call);
		dispatchQueued(pool);
		scheduleSweepIfNeeded();
		return () -> cancel(call);
	}

	/**
	 * Applies a load report of a replica.
	 * @param id replica that measured the load
	 * @param report load of the replica
	 */
	public void reportReceived(UpstreamId id, LoadReport report) {
		this.index.reportReceived(id, report);
	}

	/**
	 * Applies cache events of a replica.
	 * @param id replica whose cache changed
	 * @param events changes in the order in which they happened
	 */
	public void eventsReceived(UpstreamId id, List<CacheEvent> events) {
		this.index.eventsReceived(id, events);
	}

	/**
	 * Releases the cached prefixes of a program that has ended or expired. The release is
	 * resent to each engine until it acknowledges or is no longer configured.
	 * @param program program that gets no further calls
	 */
	public void programEnded(ProgramId program) {
		this.accounts.remove(program.toString());
		this.cacheReleaser.release(program);
		scheduleSweepIfNeeded();
	}

	/**
	 * Returns queue sizes, refusal counts and placement state for diagnostics. Contains
	 * no secrets.
	 * @return values by name, in a fixed order
	 */
	public Map<String, Object> dump() {
		Map<String, Object> figures = new LinkedHashMap<>();
		this.queuesByPool.forEach((pool, queue) -> figures.put("queue." + pool, queue.size()));
		this.refusalCounts.forEach((reason, count) -> figures.put("refused." + reason.typeName(), count));
		figures.put("placement", this.index.dump());
		figures.put("programs", this.accounts.size());
		figures.put("pendingReleases", this.cacheReleaser.pendingReleaseCount());
		return figures;
	}

	ScheduleSettings settings() {
		return this.settings;
	}

	PlacementCosts costs() {
		return this.costs;
	}

	ReplicaIndex index() {
		return this.index;
	}

	UpstreamClients upstreamClients() {
		return this.upstreamClients;
	}

	void reached(Step step) {
		this.observers.steps().reached(step);
	}

	double serviceMs(int uncachedTokens, int answerTokens) {
		return this.callCosts.serviceMs(uncachedTokens, answerTokens);
	}

	void completed(QueuedCall call, CallResult result, double serviceMs) {
		this.retryBudget.recordSuccess();
		this.accounts.charge(call.account, serviceMs);
		queueOf(call).charge(call, serviceMs - call.chargedMs);
		if (!call.isEnded) {
			call.isEnded = true;
			call.listener.completed(result);
		}
		dispatchQueued(call.pool);
	}

	void failed(QueuedCall call, Upstream upstream, RunState runState, String message, boolean isRetryable) {
		queueOf(call).charge(call, -call.chargedMs);
		if (!call.isEnded) {
			call.failedReplicas.add(upstream.id());
			call.mayHaveRun |= runState != RunState.NOT_RUN;
			boolean canMeetDeadline = call.deadlineMs - this.timer.nowMs() > this.callCosts.minServiceMs(call.request);
			if (isRetryable && canMeetDeadline && call.attemptCount < this.settings.maxAttempts()
					&& this.retryBudget.tryAcquire()) {
				call.queuedAtMs = this.timer.nowMs();
				// Deferred, because the failed attempt may have been sent by a dispatch
				// that is still iterating over the queue.
				this.timer.schedule(0, () -> requeue(call));
			}
			else {
				boolean isService = call.request.payload() instanceof ServiceCall;
				RefusalReason reason = (isService && runState == RunState.UNKNOWN) ? RefusalReason.OUTCOME_UNKNOWN
						: RefusalReason.UPSTREAM_FAILED;
				RunState reportedRunState = (call.mayHaveRun && runState == RunState.NOT_RUN) ? RunState.UNKNOWN
						: runState;
				refuse(call, new Refusal(reason, reportedRunState, message, 1_000));
			}
		}
		this.timer.schedule(0, () -> dispatchQueued(call.pool));
	}

	void expired(QueuedCall call, double serviceMs) {
		queueOf(call).charge(call, serviceMs - call.chargedMs);
		this.accounts.charge(call.account, serviceMs);
		refuse(call,
				new Refusal(RefusalReason.DEADLINE_EXCEEDED, RunState.RAN, "the deadline of the call passed", 1_000));
		dispatchQueued(call.pool);
	}

	@Nullable Reservation reserveForHedge(QueuedCall call) {
		return this.retryBudget.tryAcquire() ? this.dispatcher.reserveForHedge(call) : null;
	}

	private static boolean isResumed(CallRequest request) {
		return request.payload() instanceof RelayedCall relayed && relayed.softwareVersion() != null;
	}

	private double maxLoad(CallRequest request) {
		boolean isOpening = request.payload() instanceof RelayedCall relayed && relayed.isOpening();
		return isOpening ? this.settings.maxOpeningLoad() : Double.MAX_VALUE;
	}

	private void apply(Configuration current) {
		this.index.setUpstreams(current.upstreams());
		this.drainChecker.apply(current.upstreams(), this.timer.nowMs());
	}

	// An instance without waiting calls needs no timer.
	private void scheduleSweepIfNeeded() {
		boolean isNeeded = this.cacheReleaser.pendingReleaseCount() > 0
				|| this.queuesByPool.values().stream().anyMatch((queue) -> queue.size() > 0);
		if (isNeeded && !this.isSweepScheduled) {
			this.isSweepScheduled = true;
			this.timer.schedule(SWEEP_PERIOD_MS, this::sweep);
		}
	}

	private void sweep() {
		this.isSweepScheduled = false;
		try {
			sweepQueues();
		}
		finally {
			scheduleSweepIfNeeded();
		}
	}

	private void sweepQueues() {
		long nowMs = this.timer.nowMs();
		this.queuesByPool.forEach((pool, queue) -> {
			// The replicas of an old software version leave for good.
			boolean isUnservable = !this.index.hasPool(pool);
			double minColdMs = (this.index.coldWaitMs(pool, 0) > 0) ? Dispatcher.MIN_COLD_CALL_MS : 0;
			for (QueuedCall call : queue.callsMissingDeadline((queued) -> (isUnservable && isResumed(queued.request))
					? Double.MAX_VALUE : Math.max(minColdMs, this.callCosts.minServiceMs(queued.request)), nowMs)) {
				queue.remove(call);
				refuse(call,
						new Refusal(RefusalReason.DEADLINE_EXCEEDED,
								call.mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN,
								"the call cannot be served before its deadline", 1_000));
			}
			dispatchQueued(pool);
		});
		if (++this.sweepCount % SWEEPS_PER_RELEASE_RETRY == 0) {
			this.cacheReleaser.retryPendingReleases();
		}
	}

	private void requeue(QueuedCall call) {
		if (!call.isEnded) {
			queueOf(call).add(call);
			dispatchQueued(call.pool);
			scheduleSweepIfNeeded();
		}
	}

	private void dispatchQueued(String pool) {
		FairQueue queue = this.queuesByPool.get(pool);
		// A call that ends while it is being sent must not start a nested dispatch; the
		// dispatch in progress continues with the next call.
		if (queue == null || queue.size() == 0 || this.isDispatching) {
			return;
		}
		this.isDispatching = true;
		try {
			queue.dispatchWaiting(this.settings.lookahead(), this.dispatcher::dispatch, this.timer.nowMs());
		}
		finally {
			this.isDispatching = false;
		}
	}

	private void cancel(QueuedCall call) {
		if (call.isEnded || !call.isInterruptible) {
			return;
		}
		boolean wasQueued = queueOf(call).remove(call);
		if (call.onCancel != null) {
			call.onCancel.run();
		}
		refuse(call, new Refusal(RefusalReason.CANCELLED,
				(wasQueued && !call.mayHaveRun) ? RunState.NOT_RUN : RunState.UNKNOWN, "the caller cancelled", 0));
		dispatchQueued(call.pool);
	}

	private void refuse(QueuedCall call, Refusal refusal) {
		call.isEnded = true;
		this.observers.invariants()
			.check(Invariant.NOT_RUN_TRUTH, refusal.run() != RunState.NOT_RUN || !call.mayHaveRun,
					() -> "call " + call.request.decision() + " was refused as not run after an attempt");
		this.refusalCounts.merge(refusal.reason(), 1, Integer::sum);
		call.listener.refused(refusal);
	}

	private FairQueue queueOf(QueuedCall call) {
		return this.queuesByPool.computeIfAbsent(call.pool,
				(name) -> new FairQueue(this.settings.firstDispatchGapMs()));
	}

}
