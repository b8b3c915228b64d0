package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.ServiceClient;

/**
 * The programs whose home is this instance. Create it, build the layers below over
 * {@link #engineClient()}, then set them with {@link #setNextLayer}.
 */
public final class ProgramHomes implements CallRunner {

	private final ProgramDependencies dependencies;

	private final PartitionController controller;

	private final HomeCalls calls;

	private final ProgramLifecycle lifecycle;

	private final AtMostOnceOutcomeQuery outcomeQuery;

	private final EngineClient engineClient;

	private final HomeCallRunner callRunner;

	private CallRunner nextLayer = (request, listener) -> {
		throw new IllegalStateException("the layer below is not set");
	};

	/**
	 * Creates the homes of an instance.
	 * @param dependencies what the controllers work with
	 * @param engines client of engines
	 * @param services client of plain services
	 * @param safeguards {@link Safeguards#ALL} but in mutation checks
	 */
	public ProgramHomes(ProgramDependencies dependencies, EngineClient engines, ServiceClient services,
			Safeguards safeguards) {
		this.dependencies = dependencies;
		this.controller = new PartitionController(dependencies, safeguards);
		this.calls = new HomeCalls(dependencies);
		this.lifecycle = new ProgramLifecycle(dependencies, this.calls, engines);
		this.outcomeQuery = new AtMostOnceOutcomeQuery(dependencies, services);
		this.engineClient = new PlacementRecordingEngineClient(engines, this.controller, this.lifecycle);
		CallRunner nextLayerDelegate = (request, listener) -> this.nextLayer.run(request, listener);
		TurnRunner turnRunner = new TurnRunner(dependencies, this.calls, nextLayerDelegate);
		AtMostOnceCallRunner atMostOnceRunner = new AtMostOnceCallRunner(dependencies, this.calls, nextLayerDelegate,
				this.outcomeQuery, safeguards.isIntentFirst());
		this.callRunner = new HomeCallRunner(dependencies, this.controller, this.calls, turnRunner, atMostOnceRunner,
				nextLayerDelegate);
		this.controller.subscribe(new Listener());
		dependencies.timer().subscribe(dependencies.settings().retryMs(), this::tick);
	}

	/**
	 * Returns the client of engines for the layers below, which records placements.
	 * @return the client
	 */
	public EngineClient engineClient() {
		return this.engineClient;
	}

	public void setNextLayer(CallRunner nextLayer) {
		this.nextLayer = nextLayer;
	}

	public PartitionController controller() {
		return this.controller;
	}

	/**
	 * Returns the log that a call belongs to, which names the partition of its home.
	 * @param request the call
	 * @return the program, the log of the idempotency key, or {@code null} if the call
	 * runs where it arrived
	 */
	public @Nullable ProgramId logOf(CallRequest request) {
		return this.callRunner.logOf(request);
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		return this.callRunner.run(request, listener);
	}

	public boolean isServing(String partition) {
		return this.controller.servedHome(partition) != null;
	}

	/**
	 * Returns the partitions that this instance serves and in which programs may be
	 * opened.
	 * @return names, in order
	 */
	public List<String> openPartitions() {
		return this.controller.homes()
			.stream()
			.filter((home) -> !home.isFrozen() && isServing(home.name()))
			.map(PartitionHome::name)
			.toList();
	}

	/**
	 * Opens a program; opening it again has no further effect.
	 * @param id identifier chosen by the entry instance
	 * @param workspace workspace of the program
	 * @param parent program whose sub-agent it is, in the same partition, or {@code null}
	 * @return the identifier; fails with {@link ProgramException} or
	 * {@link HomeLostException}
	 */
	public CompletableFuture<ProgramId> open(ProgramId id, WorkspaceId workspace, @Nullable ProgramId parent) {
		PartitionHome home = this.controller.servedHome(id.partitionName());
		if (home == null || home.isFrozen()) {
			return CompletableFuture.failedFuture(new ProgramException(HomeCalls.notOwner(RunState.NOT_RUN)));
		}
		return this.lifecycle.open(home, id, workspace, parent);
	}

	/**
	 * Ends a program, its sub-agents and its calls.
	 * @param id the program
	 * @param workspace workspace of the program
	 * @return completes when the end is durable; what upstreams hold is released later
	 */
	public CompletableFuture<Void> close(ProgramId id, WorkspaceId workspace) {
		PartitionHome home = this.controller.servedHome(id.partitionName());
		if (home == null) {
			return CompletableFuture.failedFuture(new ProgramException(HomeCalls.notOwner(RunState.NOT_RUN)));
		}
		return this.lifecycle.close(home, id, workspace);
	}

	/**
	 * Lists the operations of this home whose outcome is unknown.
	 * @return a copy
	 */
	public List<UnresolvedCall> unresolved() {
		List<UnresolvedCall> unresolvedCalls = new ArrayList<>();
		for (PartitionHome home : this.controller.homes()) {
			for (ProgramState state : home.programs().values()) {
				for (AtMostOnceCall call : state.atMostOnceCalls().values()) {
					if (call.state() == AtMostOnceState.UNKNOWN) {
						unresolvedCalls
							.add(new UnresolvedCall(state.id(), call.intended().key(), call.intended().workspace(),
									call.intended().call().service(), call.intended().call().operation(),
									call.intended().call().body(), call.intended().wallClockMs()));
					}
				}
			}
		}
		return unresolvedCalls;
	}

	/**
	 * Records an operator's finding about an operation whose outcome is unknown. Of two
	 * operators the first decides.
	 * @param log program or log of the key
	 * @param key idempotency key
	 * @param result answer to give from now on, or {@code null} if the operation did not
	 * run and may be sent again
	 * @param operator who resolves it
	 * @return whether this finding counts; {@code false} if the operation is not
	 * unresolved
	 */
	public CompletableFuture<Boolean> resolve(ProgramId log, String key, @Nullable CallResult result, String operator) {
		PartitionHome home = this.controller.servedHome(log.partitionName());
		ProgramState state = (home != null) ? home.program(log) : null;
		AtMostOnceCall call = (state != null) ? state.atMostOnceCalls().get(key) : null;
		if (home == null || call == null || call.state() != AtMostOnceState.UNKNOWN) {
			return CompletableFuture.completedFuture(false);
		}
		AtMostOnceState resolved = (result != null) ? AtMostOnceState.SETTLED : AtMostOnceState.NOT_SENT;
		SettledBody body = new SettledBody(key, resolved, result, "operator " + operator,
				this.dependencies.timer().wallClockMs());
		return home.append(log, EntryType.CALL_SETTLED, body, false).thenApply((entry) -> true);
	}

	/**
	 * Returns whether this instance holds an entry in a place that a new owner would ask,
	 * for checks of whole runs.
	 * @param program the program
	 * @param sequence position of the entry
	 * @param hash hash of the entry
	 * @param record stored record of the partition
	 * @return whether the entry is held
	 */
	public boolean holds(ProgramId program, int sequence, long hash, PartitionRecord record) {
		PartitionHome home = this.controller.servedHome(program.partitionName());
		InstanceId self = this.dependencies.transport().self();
		LogChain chain = null;
		if (home != null && record.owner().equals(self)) {
			chain = home.log().chains().get(program);
		}
		else if (record.replicas().contains(self)) {
			chain = this.controller.replicaLog().chain(program);
		}
		return chain != null && chain.size() >= sequence && chain.entries().get(sequence - 1).hash() == hash;
	}

	/**
	 * Returns the state of the homes.
	 * @return an immutable copy
	 */
	public ProgramDump dump() {
		return new ProgramDump(this.controller.dump(), this.calls.size(), unresolved());
	}

	private void tick() {
		for (PartitionHome home : this.controller.homes()) {
			if (this.controller.servedHome(home.name()) == home) {
				this.lifecycle.tick(home);
			}
		}
	}

	private void resolveInterruptedCall(PartitionHome home, ProgramState state, AtMostOnceCall call) {
		this.outcomeQuery.queryOutcome(call.intended().call()).thenAccept((outcome) -> {
			AtMostOnceCall current = state.atMostOnceCalls().get(call.intended().key());
			boolean isOutcomeOpen = current != null && current.state() == AtMostOnceState.INTENDED;
			if (isOutcomeOpen && !home.isLost()) {
				home.append(state.id(), EntryType.CALL_SETTLED, new SettledBody(call.intended().key(), outcome.state(),
						outcome.result(), "takeover", this.dependencies.timer().wallClockMs()), false);
			}
		});
	}

	private final class Listener implements HomeListener {

		@Override
		public void opened(PartitionHome home) {
			for (ProgramState state : home.programs().values()) {
				List.copyOf(state.atMostOnceCalls().values())
					.stream()
					.filter((call) -> call.state() == AtMostOnceState.INTENDED)
					.forEach((call) -> resolveInterruptedCall(home, state, call));
			}
		}

		@Override
		public void lost(PartitionHome home) {
			ProgramHomes.this.callRunner.rejectWaitingCalls(home);
			ProgramHomes.this.calls.abandonCallsOf(home.name());
		}

	}

}
