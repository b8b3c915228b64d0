package dev.nutmegdoor.node.cluster;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RoutingCallRunner;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.program.ProgramException;
import dev.nutmegdoor.node.entry.ProgramGateway;
import dev.nutmegdoor.node.entry.RefusalException;

/**
 * Opens and closes programs at their homes, which may be on other instances, and converts
 * {@link ProgramException} to {@link RefusalException}.
 */
final class ClusterPrograms implements ProgramGateway {

	private final RoutingCallRunner routing;

	ClusterPrograms(RoutingCallRunner routing) {
		this.routing = routing;
	}

	@Override
	public CompletableFuture<ProgramId> open(DecisionId decision, WorkspaceId workspace, @Nullable ProgramId parent,
			@Nullable ProgramBudget budget) {
		return mapProgramException(this.routing.open(workspace, parent));
	}

	@Override
	public CompletableFuture<Void> close(DecisionId decision, WorkspaceId workspace, ProgramId program) {
		return mapProgramException(this.routing.close(workspace, program)).thenAccept((id) -> {
		});
	}

	private static <T> CompletableFuture<T> mapProgramException(CompletableFuture<T> future) {
		return future.exceptionallyCompose((error) -> {
			Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause()
					: error;
			return CompletableFuture
				.failedFuture((cause instanceof ProgramException ex) ? new RefusalException(ex.refusal()) : cause);
		});
	}

}
