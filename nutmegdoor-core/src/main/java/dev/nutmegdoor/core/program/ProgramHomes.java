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
 * Opens, closes and runs the programs whose home is this instance, that is, whose
 * partition this instance owns. After construction, build the next layers on
 * {@link #engineClient()} and set them with {@link #setNextLayer}. A call that reaches
 * them earlier fails with an {@link IllegalStateException}.
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
		throw new IllegalStateException("the next layer is not set");
	};

	/**
	 * Creates the homes of an instance and starts the ownership checks.
	 * @param dependencies collaborators shared by the controllers
	 * @param engines client for model engines
	 * @param services client for plain services
	 * @param safeguards {@link Safeguards#ALL}, except in mutation checks
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
	 * Returns the engine client for the next layers. It records in the program's log
	 * which engines may cache data of a program.
	 * @return the recording client
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
	 * Returns the log in which a call is recorded; its name contains the partition.
	 * @param request the call
	 * @return the program of the call, the log of its idempotency key if it has no
	 * program, or {@code null} if the call runs on the instance that received it
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
	 * Returns the partitions that this instance serves and in which programs can be
	 * opened. Partitions that are being handed over are left out.
	 * @return partition names in alphabetical order
	 */
	public List<String> openPartitions() {
		return this.controller.homes()
			.stream()
			.filter((home) -> !home.isFrozen() && isServing(home.name()))
			.map(PartitionHome::name)
			.toList();
	}

	/**
	 * Opens a program. Has no further effect if the workspace has opened it already.
	 * @param id identifier chosen by the instance that received the request
	 * @param workspace workspace of the program
	 * @param parent parent program in the same partition if this is a sub-agent,
	 * otherwise {@code null}
	 * @return completes with the identifier when the program is durable, or immediately
	 * if it was opened before; fails with {@link ProgramException} if the request is
	 * rejected, or {@link HomeLostException} if the partition is lost meanwhile
	 */
	public CompletableFuture<ProgramId> open(ProgramId id, WorkspaceId workspace, @Nullable ProgramId parent) {
		PartitionHome home = this.controller.servedHome(id.partitionName());
		if (home == null || home.isFrozen()) {
			return CompletableFuture.failedFuture(new ProgramException(HomeCalls.notOwner(RunState.NOT_RUN)));
		}
		return this.lifecycle.open(home, id, workspace, parent);
	}

	/**
	 * Closes a program and its sub-agents, and abandons their running calls. Data that
	 * upstreams cache for them is released later.
	 * @param id the program
	 * @param workspace workspace of the program
	 * @return completes when the end is durable, or immediately if the program was closed
	 * before; fails with {@link ProgramException} if the program is not found here, or
	 * {@link HomeLostException} if the partition is lost meanwhile
	 */
	public CompletableFuture<Void> close(ProgramId id, WorkspaceId workspace) {
		PartitionHome home = this.controller.servedHome(id.partitionName());
		if (home == null) {
			return CompletableFuture.failedFuture(new ProgramException(HomeCalls.notOwner(RunState.NOT_RUN)));
		}
		return this.lifecycle.close(home, id, workspace);
	}

	/**
	 * Returns the operations whose outcome is unknown, in the partitions of this
	 * instance.
	 * @return a new list
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
	 * Resolves an operation whose outcome is unknown. If two operators resolve the same
	 * operation, the first one takes effect.
	 * @param log program of the call, or the log of its idempotency key
	 * @param key idempotency key
	 * @param result response to return to callers, or {@code null} if the operation did
	 * not run and may be resent
	 * @param operator name of the operator, recorded as the source of the outcome
	 * @return completes with {@code true} when the resolution is durable, or with
	 * {@code false} if no such unresolved operation exists here; fails with
	 * {@link HomeLostException}
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
	 * Returns whether this instance stores an entry as the owner or a replica named by
	 * the record, so that the entry survives a takeover. Used to check simulated runs.
	 * @param program program of the entry
	 * @param sequence position of the entry in its chain, from 1
	 * @param hash expected hash of the entry
	 * @param record stored record of the partition
	 * @return {@code false} also if another entry is stored at this position
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
	 * Returns a snapshot for operators.
	 * @return an immutable copy of the current state
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
