package dev.nutmegdoor.node.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.node.entry.ProgramGateway;
import dev.nutmegdoor.node.entry.RefusalException;

/**
 * Runs programs whose only home is this process, and enforces the order, history and
 * budget of each. All state is lost when the process ends.
 */
public final class LocalPrograms implements CallRunner, ProgramGateway {

	private static final long RELEASE_RETRY_DELAY_MS = 500;

	private static final int MAX_RELEASE_ATTEMPTS = 60;

	private static final long OUT_OF_ORDER_RETRY_AFTER_MS = 200;

	private final CallRunner next;

	private final ConfigurationView configuration;

	private final AvailabilityZone zone;

	private final EngineClient engines;

	private final TimerService timers;

	private final InvariantRegistry invariants;

	private final Consumer<ProgramId> onClosed;

	private final Map<ProgramId, LocalProgram> programs = new HashMap<>();

	/**
	 * Creates a runner without open programs.
	 * @param next runs the calls after their checks
	 * @param configuration view of the active configuration
	 * @param zone zone of this instance, part of the identifiers of programs
	 * @param engines releases the cached prefixes of closed programs
	 * @param timers timers of the control thread
	 * @param invariants counts checks and violations
	 * @param onClosed called for each closed program, sub-agents included
	 */
	public LocalPrograms(CallRunner next, ConfigurationView configuration, AvailabilityZone zone, EngineClient engines,
			TimerService timers, InvariantRegistry invariants, Consumer<ProgramId> onClosed) {
		this.next = next;
		this.configuration = configuration;
		this.zone = zone;
		this.engines = engines;
		this.timers = timers;
		this.invariants = invariants;
		this.onClosed = onClosed;
	}

	@Override
	public CompletableFuture<ProgramId> open(DecisionId decision, WorkspaceId workspaceId, @Nullable ProgramId parent,
			@Nullable ProgramBudget budget) {
		Workspace workspace = this.configuration.current().workspaces().get(workspaceId);
		if (workspace == null) {
			return refusedFuture(RefusalReason.FORBIDDEN, "the workspace is not configured");
		}
		LocalProgram parentProgram = (parent != null) ? this.programs.get(parent) : null;
		if (parent != null && (parentProgram == null || !parentProgram.isOwnedBy(workspaceId))) {
			return refusedFuture(RefusalReason.NOT_FOUND, "the parent program does not exist");
		}
		int depth = (parentProgram != null) ? parentProgram.depth() + 1 : 0;
		if (depth > workspace.budget().maxDepth()) {
			return refusedFuture(RefusalReason.BUDGET_EXHAUSTED,
					"sub-agents may not be nested deeper than " + workspace.budget().maxDepth());
		}
		ProgramId id = new ProgramId(this.zone, 0, UUID.randomUUID().toString());
		this.programs.put(id, new LocalProgram(id, workspaceId, parentProgram, depth,
				(budget != null) ? budget : workspace.budget(), this.timers.nowMs(), this.invariants));
		return CompletableFuture.completedFuture(id);
	}

	private static <T> CompletableFuture<T> refusedFuture(RefusalReason reason, String detail) {
		return CompletableFuture.failedFuture(new RefusalException(Refusal.notRun(reason, detail, 0)));
	}

	@Override
	public CompletableFuture<Void> close(DecisionId decision, WorkspaceId workspace, ProgramId id) {
		LocalProgram program = this.programs.get(id);
		if (program == null || !program.isOwnedBy(workspace)) {
			return refusedFuture(RefusalReason.NOT_FOUND, "the program does not exist");
		}
		List<LocalProgram> closing = new ArrayList<>();
		for (LocalProgram candidate : this.programs.values()) {
			if (candidate.isSameOrDescendantOf(program) && candidate.close()) {
				closing.add(candidate);
			}
		}
		for (LocalProgram closed : closing) {
			this.onClosed.accept(closed.id());
			for (Upstream upstream : this.configuration.current().upstreams().values()) {
				if (upstream.kind() == UpstreamKind.MODEL_ENGINE) {
					release(upstream, closed.id(), 1);
				}
			}
		}
		return CompletableFuture.completedFuture(null);
	}

	private void release(Upstream upstream, ProgramId program, int attempt) {
		this.engines.release(upstream, program).whenComplete((acknowledged, error) -> {
			if (error != null && attempt < MAX_RELEASE_ATTEMPTS
					&& this.configuration.current().upstreams().containsKey(upstream.id())) {
				this.timers.schedule(RELEASE_RETRY_DELAY_MS, () -> release(upstream, program, attempt + 1));
				return;
			}
			this.invariants.check(Invariant.ENGINE_CACHE_RELEASED,
					error == null || !this.configuration.current().upstreams().containsKey(upstream.id()),
					() -> "upstream " + upstream.id() + " did not release program " + program);
		});
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		ProgramId id = request.program();
		if (id == null) {
			return this.next.run(request, listener);
		}
		LocalProgram program = this.programs.get(id);
		if (program == null || !program.isOwnedBy(request.workspace())) {
			return refuse(listener, RefusalReason.NOT_FOUND, "the program does not exist", 0);
		}
		if (program.isClosed()) {
			return refuse(listener, RefusalReason.PROGRAM_CLOSED, "the program is closed", 0);
		}
		if (request.turn() > program.nextTurn()) {
			return refuse(listener, RefusalReason.OUT_OF_ORDER,
					"turn " + request.turn() + " came before turn " + program.nextTurn(), OUT_OF_ORDER_RETRY_AFTER_MS);
		}
		CoalescedCall existing = program.call(request.turn());
		if (existing != null) {
			if (!existing.hasPayload(request.payload())) {
				return refuse(listener, RefusalReason.OUT_OF_ORDER,
						"turn " + request.turn() + " was used for a different call", 0);
			}
			return existing.attach(listener, program.handle(request.turn()));
		}
		String exhaustedBudget = program.reserve(request, this.timers.nowMs());
		if (exhaustedBudget != null) {
			return refuse(listener, RefusalReason.BUDGET_EXHAUSTED, exhaustedBudget, 0);
		}
		CoalescedCall coalesced = program.begin(request);
		CallHandle result = coalesced.attach(listener, program.handle(request.turn()));
		program.registerHandle(request.turn(), this.next.run(program.withHistory(request), coalesced));
		return result;
	}

	private static CallHandle refuse(CallListener listener, RefusalReason reason, String detail, long retryAfterMs) {
		listener.refused(Refusal.notRun(reason, detail, retryAfterMs));
		return () -> {
		};
	}

}
