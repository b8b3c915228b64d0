package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.upstream.EngineClient;

/**
 * Opens, closes and expires programs at their home. After a program is closed, the data
 * that upstreams cache for it is released; this is retried until each upstream has
 * acknowledged.
 */
final class ProgramLifecycle {

	/** Minimum time for which a closed program still returns its recorded responses. */
	private static final long CLOSED_PROGRAM_RETENTION_MS = 60_000;

	/**
	 * Keys without a timestamp are kept for this multiple of the retention time, so that
	 * late repeats are rejected as expired.
	 */
	private static final int UNDATED_KEY_RETENTION_FACTOR = 7;

	private final ProgramDependencies dependencies;

	private final HomeCalls calls;

	private final EngineClient engines;

	private final Set<String> orphanReleases = new HashSet<>();

	private final Set<ProgramId> releasesInProgress = new HashSet<>();

	ProgramLifecycle(ProgramDependencies dependencies, HomeCalls calls, EngineClient engines) {
		this.dependencies = dependencies;
		this.calls = calls;
		this.engines = engines;
	}

	CompletableFuture<ProgramId> open(PartitionHome home, ProgramId id, WorkspaceId workspace,
			@Nullable ProgramId parent) {
		ProgramState existing = home.program(id);
		if (existing != null) {
			OpenedBody opened = existing.opened();
			return (opened != null && opened.workspace().equals(workspace)) ? CompletableFuture.completedFuture(id)
					: failedFuture(RefusalReason.NOT_FOUND, "the program id is taken");
		}
		int depth = 0;
		Workspace settings = this.dependencies.configuration().current().workspaces().get(workspace);
		ProgramBudget budget = (settings != null) ? settings.budget() : ProgramBudget.DEFAULT;
		long nowMs = this.dependencies.timer().wallClockMs();
		if (parent != null) {
			ProgramState parentState = home.program(parent);
			OpenedBody opened = (parentState != null) ? parentState.opened() : null;
			if (parentState == null || opened == null || !opened.workspace().equals(workspace)) {
				return failedFuture(RefusalReason.NOT_FOUND, "the workspace has no program " + parent);
			}
			if (parentState.closed() != null) {
				return failedFuture(RefusalReason.PROGRAM_CLOSED, "the parent program has ended");
			}
			depth = opened.depth() + 1;
			budget = opened.budget();
			BudgetDecision decision = BudgetRule.decide(BudgetLedger.inputs(home, parentState, 0, 0, depth, nowMs));
			if (decision != BudgetDecision.GRANTED) {
				return failedFuture(RefusalReason.BUDGET_EXHAUSTED, decision.detail());
			}
		}
		return home.append(id, EntryType.OPENED, new OpenedBody(workspace, parent, depth, budget, nowMs), false)
			.thenApply((entry) -> id);
	}

	CompletableFuture<Void> close(PartitionHome home, ProgramId id, WorkspaceId workspace) {
		ProgramState state = home.program(id);
		OpenedBody opened = (state != null) ? state.opened() : null;
		if (state == null || opened == null || !opened.workspace().equals(workspace)) {
			return failedFuture(RefusalReason.NOT_FOUND, "the workspace has no program " + id);
		}
		return closeWithSubAgents(home, state, "closed by the caller");
	}

	private CompletableFuture<Void> closeWithSubAgents(PartitionHome home, ProgramState state, String reason) {
		if (state.closed() != null) {
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> closed = home
			.append(state.id(), EntryType.CLOSED, new ClosedBody(reason, this.dependencies.timer().wallClockMs()),
					false)
			.thenApply((entry) -> null);
		for (ProgramState child : new ArrayList<>(home.programs().values())) {
			if (BudgetLedger.isChild(child, state.id())) {
				closeWithSubAgents(home, child, "the parent program ended");
			}
		}
		for (RunningCall call : this.calls.of(state.id())) {
			call.abandon();
		}
		return closed;
	}

	void tick(PartitionHome home) {
		long nowMs = this.dependencies.timer().wallClockMs();
		for (ProgramState state : new ArrayList<>(home.programs().values())) {
			OpenedBody opened = state.opened();
			if (opened == null) {
				removeKeyLogIfExpired(home, state, nowMs);
			}
			else if (state.closed() == null) {
				closeIfExpired(home, state, opened, nowMs);
			}
			else if (!state.isReleased()) {
				release(home, state);
			}
			else if (opened.parent() == null && nowMs - state.closed().wallClockMs() > CLOSED_PROGRAM_RETENTION_MS) {
				removeTreeIfReleased(home, state);
			}
		}
	}

	private void closeIfExpired(PartitionHome home, ProgramState state, OpenedBody opened, long nowMs) {
		if (nowMs - opened.wallClockMs() > opened.budget().maxDurationMs()) {
			closeWithSubAgents(home, state, "the program's time is used up");
		}
		else if (this.calls.of(state.id()).isEmpty()
				&& nowMs - state.lastActivityMs() > this.dependencies.settings().idleExpiryMs()
				&& !hasChildren(home, state)) {
			closeWithSubAgents(home, state, "no call for " + this.dependencies.settings().idleExpiryMs() + " ms");
		}
	}

	private static boolean hasChildren(PartitionHome home, ProgramState state) {
		return home.programs()
			.values()
			.stream()
			.anyMatch((child) -> child.closed() == null && BudgetLedger.isChild(child, state.id()));
	}

	private void removeKeyLogIfExpired(PartitionHome home, ProgramState state, long nowMs) {
		long retentionMs = this.dependencies.settings().keyRetentionMs();
		boolean isExpired = state.atMostOnceCalls().values().stream().allMatch((call) -> {
			boolean isDated = AtMostOnceCallRunner.keyTimestampMs(call.intended().key()) >= 0;
			long retainedMs = isDated ? 2 * retentionMs : UNDATED_KEY_RETENTION_FACTOR * retentionMs;
			return call.state() != AtMostOnceState.INTENDED && call.state() != AtMostOnceState.UNKNOWN
					&& nowMs - call.changedMs() > retainedMs;
		});
		if (isExpired && this.calls.of(state.id()).isEmpty()) {
			removeLog(home, state.id());
		}
	}

	private void removeLog(PartitionHome home, ProgramId program) {
		home.remove(program);
		this.dependencies.events().record("program.forgotten", "program", program);
	}

	private void release(PartitionHome home, ProgramState state) {
		if (!this.calls.of(state.id()).isEmpty()) {
			this.calls.of(state.id()).forEach(RunningCall::abandon);
			return;
		}
		if (!this.releasesInProgress.add(state.id())) {
			return;
		}
		List<CompletableFuture<Void>> releases = new ArrayList<>();
		for (UpstreamId upstream : state.upstreams()) {
			releases.add(release(upstream, state.id()));
		}
		CompletableFuture.allOf(releases.toArray(new CompletableFuture<?>[0])).whenComplete((ignored, error) -> {
			this.releasesInProgress.remove(state.id());
			// After a failure the next tick retries all releases.
			if (error == null && !home.isLost() && this.dependencies.lease().isValid() && !state.isReleased()) {
				home.append(state.id(), EntryType.RELEASED, new ReleasedBody(this.dependencies.timer().wallClockMs()),
						false);
				this.dependencies.invariants()
					.check(Invariant.ENGINE_CACHE_RELEASED, this.calls.of(state.id()).isEmpty(),
							() -> "program " + state.id() + " is released while a call runs");
			}
		});
	}

	private CompletableFuture<Void> release(UpstreamId upstream, ProgramId program) {
		Upstream target = this.dependencies.configuration().current().upstreams().get(upstream);
		return (target != null) ? this.engines.release(target, program) : CompletableFuture.completedFuture(null);
	}

	/**
	 * Releases the cache that a late stream of this instance left on an engine although
	 * the program is released or no longer served here. Retried until acknowledged.
	 * @param upstream engine that may cache data of the program
	 * @param program program of the stream
	 */
	void releaseOrphaned(UpstreamId upstream, ProgramId program) {
		if (!this.orphanReleases.add(upstream + "/" + program)) {
			return;
		}
		release(upstream, program).whenComplete((ignored, error) -> {
			this.orphanReleases.remove(upstream + "/" + program);
			if (error != null) {
				this.dependencies.timer()
					.schedule(this.dependencies.settings().retryMs(), () -> releaseOrphaned(upstream, program));
			}
		});
	}

	private void removeTreeIfReleased(PartitionHome home, ProgramState root) {
		List<ProgramState> tree = new ArrayList<>(List.of(root));
		for (int i = 0; i < tree.size(); i++) {
			ProgramId parent = tree.get(i).id();
			home.programs().values().stream().filter((child) -> BudgetLedger.isChild(child, parent)).forEach(tree::add);
		}
		if (tree.stream().allMatch(ProgramState::isReleased)) {
			tree.forEach((program) -> removeLog(home, program.id()));
		}
	}

	private static <T> CompletableFuture<T> failedFuture(RefusalReason reason, String detail) {
		return CompletableFuture.failedFuture(new ProgramException(new Refusal(reason, RunState.NOT_RUN, detail, 0)));
	}

}
