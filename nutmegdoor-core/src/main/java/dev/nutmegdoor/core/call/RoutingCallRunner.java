package dev.nutmegdoor.core.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.program.ProgramDependencies;
import dev.nutmegdoor.core.program.ProgramException;
import dev.nutmegdoor.core.program.ProgramHomes;

/**
 * Runs calls at their entry instance: locally if this instance is the home of the call or
 * the call needs no home, and otherwise by forwarding it to its home. Confined to the
 * control thread.
 */
public final class RoutingCallRunner implements CallRunner {

	private static final int PROGRAM_REQUEST_ATTEMPTS = 20;

	private final ProgramDependencies dependencies;

	private final ProgramHomes homes;

	private final HomeLocator homeLocator;

	private final Map<String, RoutedCall> calls = new HashMap<>();

	private long nextCallNumber;

	public RoutingCallRunner(ProgramDependencies dependencies, ProgramHomes homes) {
		this.dependencies = dependencies;
		this.homes = homes;
		this.homeLocator = new HomeLocator(dependencies, homes);
		dependencies.transport().subscribe(CallChunk.class, (from, chunk) -> {
			RoutedCall call = this.calls.get(chunk.callId());
			if (call != null) {
				call.chunkReceived(from, chunk);
			}
			return null;
		});
		dependencies.transport().subscribe(CallOutcome.class, (from, outcome) -> {
			RoutedCall call = this.calls.get(outcome.callId());
			if (call != null) {
				call.outcomeReceived(from, outcome);
			}
			return CompletableFuture.completedFuture(new CallOutcomeAck(outcome.callId()));
		});
	}

	public int size() {
		return this.calls.size();
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		ProgramId logId = this.homes.logOf(request);
		if (logId == null) {
			return this.homes.run(request, listener);
		}
		String callId = this.dependencies.transport().self() + "-" + this.nextCallNumber++;
		RoutedCall call = new RoutedCall(callId, request, logId.partitionName(), listener, this.dependencies,
				this.homes, this.homeLocator, () -> this.calls.remove(callId));
		this.calls.put(callId, call);
		call.start();
		return call::cancel;
	}

	/**
	 * Opens a program. A sub-agent is opened in the partition of its parent. Any other
	 * program is opened in a partition of this instance if it has one, and otherwise in a
	 * reachable partition, preferably of the same availability zone.
	 * @param workspace workspace of the program
	 * @param parent program whose sub-agent the new one is, or {@code null}
	 * @return completes with the identifier; fails with {@link ProgramException}
	 */
	public CompletableFuture<ProgramId> open(WorkspaceId workspace, @Nullable ProgramId parent) {
		String suffix = Long.toString(this.dependencies.random().nextLong() >>> 1, 36);
		ProgramId id;
		if (parent != null) {
			id = new ProgramId(parent.availabilityZone(), parent.partition(), suffix);
		}
		else {
			String partition = partitionForNewProgram();
			if (partition == null) {
				return CompletableFuture.failedFuture(new ProgramException(Refusal
					.notRun(RefusalReason.HOME_UNREACHABLE, "no home for new programs is reachable", 1_000)));
			}
			id = ProgramId.parse(partition + "." + suffix);
		}
		CompletableFuture<ProgramId> result = new CompletableFuture<>();
		sendProgramRequest(id, new ProgramOpen(id, workspace, parent), () -> this.homes.open(id, workspace, parent),
				result, PROGRAM_REQUEST_ATTEMPTS);
		return result;
	}

	/**
	 * Closes a program at its home, which may be another instance.
	 * @param workspace workspace of the program
	 * @param id program to close
	 * @return completes when the closing is durable; fails with {@link ProgramException}
	 */
	public CompletableFuture<ProgramId> close(WorkspaceId workspace, ProgramId id) {
		CompletableFuture<ProgramId> result = new CompletableFuture<>();
		sendProgramRequest(id, new ProgramClose(id, workspace),
				() -> this.homes.close(id, workspace).thenApply((done) -> id), result, PROGRAM_REQUEST_ATTEMPTS);
		return result;
	}

	private @Nullable String partitionForNewProgram() {
		List<String> localPartitions = this.homes.openPartitions();
		if (!localPartitions.isEmpty()) {
			return localPartitions.get(this.dependencies.random().nextInt(localPartitions.size()));
		}
		AvailabilityZone zone = this.dependencies.members().self().availabilityZone();
		List<String> partitionsInZone = this.homeLocator.reachablePartitions(zone);
		List<String> candidates = partitionsInZone.isEmpty() ? this.homeLocator.reachablePartitions(null)
				: partitionsInZone;
		return candidates.isEmpty() ? null : candidates.get(this.dependencies.random().nextInt(candidates.size()));
	}

	private void sendProgramRequest(ProgramId id, dev.nutmegdoor.core.peer.PeerMessage message,
			java.util.function.Supplier<CompletableFuture<ProgramId>> localOperation,
			CompletableFuture<ProgramId> result, int attemptsLeft) {
		InstanceId owner = this.homeLocator.routableOwner(id.partitionName());
		CompletableFuture<ProgramAnswer> answer;
		if (this.homes.isServing(id.partitionName())) {
			answer = localOperation.get()
				.handle((done, error) -> new ProgramAnswer(id, ForwardedCalls.refusalOf(error)));
		}
		else if (owner == null || owner.equals(this.dependencies.transport().self())) {
			answer = CompletableFuture.completedFuture(new ProgramAnswer(id, HomeLocator.UNREACHABLE));
		}
		else {
			answer = this.dependencies.transport()
				.request(owner, message, ProgramAnswer.class, this.dependencies.settings().appendTimeoutMs() * 4);
		}
		answer.whenComplete((value, error) -> {
			Refusal refusal = (error != null) ? HomeLocator.UNREACHABLE : value.refusal();
			boolean isRetryable = refusal != null && (refusal.reason() == RefusalReason.NOT_OWNER
					|| refusal.reason() == RefusalReason.HOME_UNREACHABLE);
			if (refusal == null) {
				result.complete(id);
			}
			else if (isRetryable && attemptsLeft > 1) {
				this.dependencies.timer()
					.schedule(HomeLocator.RETRY_MS,
							() -> sendProgramRequest(id, message, localOperation, result, attemptsLeft - 1));
				this.homes.controller().table().refreshEarly();
			}
			else {
				result.completeExceptionally(new ProgramException(refusal));
			}
		});
	}

}
