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
 * Queues calls fairly, places each on a replica once one has a place, and sends it. All
 * methods are called on the control thread.
 */
public final class ScheduledCallRunner implements CallRunner {

	private static final long SWEEP_PERIOD_MS = 100;

	private static final int SWEEPS_PER_RELEASE = 20;

	private final ScheduleSettings settings;

	private final PlacementCosts costs;

	private final CallCosts callCosts;

	private final ReplicaIndex index;

	private final TimerService timer;

	private final UpstreamClients ports;

	private final Observers observers;

	private final DecisionLog decisions;

	private final DrainChecker drains;

	private final Dispatcher dispatcher;

	private final ProgramAccounts accounts = new ProgramAccounts();

	private final CallClassifier classifier;

	private final CacheReleaser releaser;

	private final RetryBudget retries;

	private final Map<String, FairQueue> queues = new TreeMap<>();

	private final Map<RefusalReason, Integer> refusals = new TreeMap<>();

	private long sequence;

	private long sweeps;

	private boolean isPumping;

	/**
	 * Creates the runner and subscribes to time and configuration.
	 * @param settings settings of queueing and dispatch
	 * @param costs cost model of the replicas
	 * @param index what is known of the replicas; filled by this runner's caller
	 * @param timer source of time
	 * @param configuration configuration in force
	 * @param ports ways to the upstreams
	 * @param programs facts of programs
	 * @param observers receivers of decisions, invariants and steps
	 */
	public ScheduledCallRunner(ScheduleSettings settings, PlacementCosts costs, ReplicaIndex index, TimerService timer,
			ConfigurationView configuration, UpstreamClients ports, ProgramSchedulingInfoSource programs,
			Observers observers) {
		this.settings = settings;
		this.costs = costs;
		this.callCosts = new CallCosts(costs);
		this.index = index;
		this.timer = timer;
		this.ports = ports;
		this.observers = observers;
		this.decisions = new DecisionLog(observers.decisions(), timer);
		this.drains = new DrainChecker(observers.invariants());
		this.dispatcher = new Dispatcher(this, timer, configuration, this.decisions, this.drains);
		this.classifier = new CallClassifier(settings, configuration, programs, this.accounts);
		this.releaser = new CacheReleaser(index, ports.engines());
		this.retries = new RetryBudget(settings.retryShare());
		apply(configuration.current());
		configuration.subscribe(this::apply);
		timer.subscribe(SWEEP_PERIOD_MS, this::sweep);
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		long nowMs = this.timer.nowMs();
		String pool = CallCosts.poolOf(request);
		FairQueue queue = this.queues.computeIfAbsent(pool,
				(name) -> new FairQueue(this.settings.firstDispatchGapMs()));
		QueueInput input = new QueueInput(this.index.hasPool(pool), queue.queued(request.workspace()),
				this.settings.maxQueuedPerWorkspace(), queue.expectedWaitMs(request.workspace()),
				this.callCosts.minServiceMs(request), request.timeoutMs(), this.index.leastLoad(pool),
				maxLoad(request));
		Refusal refusal = input.decide();
		if (refusal != null) {
			this.refusals.merge(refusal.reason(), 1, Integer::sum);
			this.decisions.refused(request, input, refusal);
			listener.refused(refusal);
			return () -> {
			};
		}
		List<Long> hashes = (request.payload() instanceof ModelCall model)
				? this.ports.hasher().hash(request.program(), model) : List.of();
		QueuedCall call = new QueuedCall(request, listener, pool, this.classifier.classify(request, nowMs), hashes,
				this.sequence++, nowMs);
		queue.add(call);
		pump(pool);
		return () -> cancel(call);
	}

	/**
	 * Applies a load report of a replica.
	 * @param id the replica
	 * @param report the report
	 */
	public void reportReceived(UpstreamId id, LoadReport report) {
		this.index.reportReceived(id, report);
	}

	/**
	 * Applies cache events of a replica.
	 * @param id the replica
	 * @param events events in their order
	 */
	public void eventsReceived(UpstreamId id, List<CacheEvent> events) {
		this.index.eventsReceived(id, events);
	}

	/**
	 * Releases what engines hold of a program that has ended or expired; repeated until
	 * each engine has acknowledged.
	 * @param program the program
	 */
	public void programEnded(ProgramId program) {
		this.accounts.close(program.toString());
		this.releaser.release(program);
	}

	/**
	 * Describes the state without secrets.
	 * @return figures by name
	 */
	public Map<String, Object> dump() {
		Map<String, Object> state = new LinkedHashMap<>();
		this.queues.forEach((pool, queue) -> state.put("queue." + pool, queue.size()));
		this.refusals.forEach((reason, count) -> state.put("refused." + reason.typeName(), count));
		state.put("placement", this.index.dump());
		state.put("programs", this.accounts.size());
		state.put("pendingReleases", this.releaser.pendingPrograms());
		return state;
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

	UpstreamClients ports() {
		return this.ports;
	}

	void reached(Step step) {
		this.observers.steps().reached(step);
	}

	double serviceMs(int uncachedTokens, int answerTokens) {
		return this.callCosts.serviceMs(uncachedTokens, answerTokens);
	}

	void completed(QueuedCall call, CallResult result, double serviceMs) {
		this.retries.succeeded();
		this.accounts.charge(call.account, serviceMs);
		queueOf(call).charge(call, serviceMs - call.chargedMs);
		if (!call.isEnded) {
			call.isEnded = true;
			call.listener.completed(result);
		}
		pump(call.pool);
	}

	void failed(QueuedCall call, Upstream upstream, RunState run, String message, boolean isRetryable) {
		queueOf(call).charge(call, -call.chargedMs);
		if (!call.isEnded) {
			call.failedReplicas.add(upstream.id());
			call.mayHaveRun |= run != RunState.NOT_RUN;
			boolean hasTime = call.deadlineMs - this.timer.nowMs() > this.callCosts.minServiceMs(call.request);
			if (isRetryable && hasTime && call.attempts < this.settings.maxAttempts() && this.retries.take()) {
				call.queuedAtMs = this.timer.nowMs();
				// Not within the offer that may have sent the failed attempt.
				this.timer.schedule(0, () -> requeue(call));
			}
			else {
				boolean isService = call.request.payload() instanceof ServiceCall;
				RefusalReason reason = (isService && run == RunState.UNKNOWN) ? RefusalReason.OUTCOME_UNKNOWN
						: RefusalReason.UPSTREAM_FAILED;
				RunState known = (call.mayHaveRun && run == RunState.NOT_RUN) ? RunState.UNKNOWN : run;
				refuse(call, new Refusal(reason, known, message, 1_000));
			}
		}
		this.timer.schedule(0, () -> pump(call.pool));
	}

	void expired(QueuedCall call, double serviceMs) {
		queueOf(call).charge(call, serviceMs - call.chargedMs);
		this.accounts.charge(call.account, serviceMs);
		refuse(call,
				new Refusal(RefusalReason.DEADLINE_EXCEEDED, RunState.RAN, "the deadline of the call passed", 1_000));
		pump(call.pool);
	}

	@Nullable Reservation reserveForHedge(QueuedCall call) {
		return this.retries.take() ? this.dispatcher.reserveForHedge(call) : null;
	}

	private double maxLoad(CallRequest request) {
		boolean isOpening = request.payload() instanceof RelayedCall relayed && relayed.isOpening();
		return isOpening ? this.settings.maxOpeningLoad() : Double.MAX_VALUE;
	}

	private void apply(Configuration current) {
		this.index.setUpstreams(current.upstreams());
		this.drains.apply(current.upstreams(), this.timer.nowMs());
	}

	private void sweep() {
		long nowMs = this.timer.nowMs();
		this.queues.forEach((pool, queue) -> {
			for (QueuedCall call : queue.callsMissingDeadline((queued) -> this.callCosts.minServiceMs(queued.request),
					nowMs)) {
				queue.remove(call);
				refuse(call,
						new Refusal(RefusalReason.DEADLINE_EXCEEDED,
								call.mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN,
								"the call cannot be served before its deadline", 1_000));
			}
			pump(pool);
		});
		if (++this.sweeps % SWEEPS_PER_RELEASE == 0) {
			this.releaser.repeatPending();
		}
	}

	private void requeue(QueuedCall call) {
		if (!call.isEnded) {
			queueOf(call).add(call);
			pump(call.pool);
		}
	}

	private void pump(String pool) {
		FairQueue queue = this.queues.get(pool);
		// A call that ends while it is being sent must not start another offer; the one
		// in progress goes on.
		if (queue == null || queue.size() == 0 || this.isPumping) {
			return;
		}
		this.isPumping = true;
		try {
			queue.offer(this.settings.lookahead(), this.dispatcher::dispatch, this.timer.nowMs());
		}
		finally {
			this.isPumping = false;
		}
	}

	private void cancel(QueuedCall call) {
		if (call.isEnded || !call.isInterruptible) {
			return;
		}
		boolean wasQueued = queueOf(call).remove(call);
		if (call.cancellation != null) {
			call.cancellation.run();
		}
		refuse(call, new Refusal(RefusalReason.CANCELLED,
				(wasQueued && !call.mayHaveRun) ? RunState.NOT_RUN : RunState.UNKNOWN, "the caller cancelled", 0));
		pump(call.pool);
	}

	private void refuse(QueuedCall call, Refusal refusal) {
		call.isEnded = true;
		this.observers.invariants()
			.check(Invariant.NOT_RUN_TRUTH, refusal.run() != RunState.NOT_RUN || !call.mayHaveRun,
					() -> "call " + call.request.decision() + " was refused as not run after an attempt");
		this.refusals.merge(refusal.reason(), 1, Integer::sum);
		call.listener.refused(refusal);
	}

	private FairQueue queueOf(QueuedCall call) {
		return this.queues.computeIfAbsent(call.pool, (name) -> new FairQueue(this.settings.firstDispatchGapMs()));
	}

}
