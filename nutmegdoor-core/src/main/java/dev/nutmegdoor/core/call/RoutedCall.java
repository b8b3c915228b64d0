package dev.nutmegdoor.core.call;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.program.ProgramDependencies;
import dev.nutmegdoor.core.program.ProgramHomes;

/**
 * One call at its entry instance. Whenever the home of its program changes, the call is
 * sent to the new home, until the call has an outcome or its deadline passes. A home that
 * receives the call again recognises it by its identifier and does not run it a second
 * time. Confined to the control thread.
 */
final class RoutedCall {

	/** Time without progress after which the call is resent to resume it. */
	private static final long PROGRESS_TIMEOUT_MS = 1_000;

	private final String callId;

	private final CallRequest request;

	private final String partition;

	private final CallListener listener;

	private final ProgramDependencies dependencies;

	private final ProgramHomes homes;

	private final HomeLocator homeLocator;

	private final Runnable onEnd;

	private final long deadlineMs;

	private final Set<InstanceId> homesThatMayHaveRun = new HashSet<>();

	private @Nullable InstanceId home;

	private CallHandle localHandle = () -> {
	};

	private final StringBuilder deliveredText = new StringBuilder();

	private boolean hasTextOfEarlierHome;

	private long lastProgressMs;

	private long currentAttempt;

	private boolean isEnded;

	RoutedCall(String callId, CallRequest request, String partition, CallListener listener,
			ProgramDependencies dependencies, ProgramHomes homes, HomeLocator homeLocator, Runnable onEnd) {
		this.callId = callId;
		this.request = request;
		this.partition = partition;
		this.listener = listener;
		this.dependencies = dependencies;
		this.homes = homes;
		this.homeLocator = homeLocator;
		this.onEnd = onEnd;
		this.deadlineMs = dependencies.timer().nowMs() + request.timeoutMs();
	}

	void start() {
		this.dependencies.timer().schedule(this.request.timeoutMs(), this::timeOut);
		route();
	}

	void cancel() {
		if (this.isEnded) {
			return;
		}
		end();
		this.localHandle.cancel();
		if (this.home != null) {
			this.dependencies.transport().send(this.home, new CallCancel(this.callId));
		}
	}

	void chunkReceived(InstanceId from, CallChunk chunk) {
		if (this.isEnded || !from.equals(this.home)) {
			return;
		}
		this.lastProgressMs = this.dependencies.timer().nowMs();
		if (chunk.offset() > this.deliveredText.length()) {
			this.dependencies.transport().send(from, new CallResume(this.callId, this.deliveredText.length()));
			return;
		}
		deliver(chunk.offset(), chunk.text());
	}

	void outcomeReceived(InstanceId from, CallOutcome outcome) {
		if (!this.isEnded && from.equals(this.home)) {
			finish(from, outcome.result(), outcome.refusal());
		}
	}

	private void deliver(int offset, String text) {
		int deliveredLength = this.deliveredText.length();
		// Another home may generate different text, so nothing more is delivered until
		// the complete result can be compared with the delivered text.
		if (!this.hasTextOfEarlierHome && offset <= deliveredLength && offset + text.length() > deliveredLength) {
			String newText = text.substring(deliveredLength - offset);
			this.deliveredText.append(newText);
			this.listener.generated(deliveredLength, newText);
		}
	}

	private void recordHome(InstanceId newHome) {
		if (this.home != null && !newHome.equals(this.home)) {
			this.hasTextOfEarlierHome |= !this.deliveredText.isEmpty();
		}
		this.home = newHome;
	}

	private void finish(InstanceId from, @Nullable CallResult result, @Nullable Refusal refusal) {
		if (result != null) {
			if (this.request.payload() instanceof ModelCall) {
				if (!result.body().startsWith(this.deliveredText.toString())) {
					refuse(new Refusal(RefusalReason.UPSTREAM_FAILED, RunState.RAN,
							"the stream broke; the stored answer is given when the call is repeated",
							HomeLocator.RETRY_MS));
					return;
				}
				this.hasTextOfEarlierHome = false;
				deliver(0, result.body());
			}
			end();
			this.listener.completed(result);
			return;
		}
		if (refusal == null) {
			return;
		}
		if (refusal.run() == RunState.NOT_RUN) {
			this.homesThatMayHaveRun.remove(from);
		}
		if (refusal.reason() == RefusalReason.NOT_OWNER && remainingMs() > HomeLocator.RETRY_MS) {
			this.hasTextOfEarlierHome |= !this.deliveredText.isEmpty();
			this.homes.controller().table().refreshEarly();
			scheduleRouting();
			return;
		}
		refuse(refusal);
	}

	// "Not run" is reported to the caller only if no earlier home can have run the call.
	private void refuse(Refusal refusal) {
		end();
		boolean canReportRunState = refusal.run() != RunState.NOT_RUN || this.homesThatMayHaveRun.isEmpty();
		this.listener.refused(canReportRunState ? refusal
				: new Refusal(refusal.reason(), RunState.UNKNOWN, refusal.detail(), refusal.retryAfterMs()));
	}

	private void timeOut() {
		if (this.isEnded) {
			return;
		}
		this.localHandle.cancel();
		refuse(this.homesThatMayHaveRun.isEmpty() ? HomeLocator.UNREACHABLE
				: new Refusal(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN, "the call took too long", 0));
	}

	private void scheduleRouting() {
		long scheduledAttempt = ++this.currentAttempt;
		this.dependencies.timer().schedule(HomeLocator.RETRY_MS, () -> {
			if (scheduledAttempt == this.currentAttempt) {
				route();
			}
		});
	}

	private void route() {
		if (this.isEnded) {
			return;
		}
		if (this.homes.isServing(this.partition)) {
			runLocally();
			return;
		}
		InstanceId owner = this.homeLocator.routableOwner(this.partition);
		boolean isRemote = owner != null && !owner.equals(this.dependencies.transport().self());
		if (owner != null && isRemote) {
			forward(owner);
			return;
		}
		if (owner == null && this.homesThatMayHaveRun.isEmpty()
				&& !this.homeLocator.isTakeoverExpected(this.partition)) {
			refuse(HomeLocator.UNREACHABLE);
			return;
		}
		this.homes.controller().table().refreshEarly();
		scheduleRouting();
	}

	private void runLocally() {
		InstanceId self = this.dependencies.transport().self();
		recordHome(self);
		this.homesThatMayHaveRun.add(self);
		CallRequest localRequest = new CallRequest(this.request.decision(), this.request.workspace(),
				this.request.key(), this.request.program(), this.request.turn(), this.request.workKind(),
				this.request.payload(), Math.max(1, remainingMs()));
		CallHandle handle = this.homes.run(localRequest, new CallListener() {

			@Override
			public void generated(int offset, String text) {
				if (!RoutedCall.this.isEnded) {
					deliver(offset, text);
				}
			}

			@Override
			public void completed(CallResult result) {
				outcomeReceived(self, new CallOutcome(RoutedCall.this.callId, result, null));
			}

			@Override
			public void refused(Refusal refusal) {
				outcomeReceived(self, new CallOutcome(RoutedCall.this.callId, null, refusal));
			}

		});
		this.localHandle = handle;
	}

	private void forward(InstanceId owner) {
		recordHome(owner);
		boolean isFirstForward = this.homesThatMayHaveRun.add(owner);
		long scheduledAttempt = ++this.currentAttempt;
		this.dependencies.steps().reached(Step.FORWARD);
		CallForward forward = CallForward.of(this.callId, this.request, Math.max(1, remainingMs()),
				this.deliveredText.length());
		this.dependencies.transport()
			.request(owner, forward, CallAccepted.class, this.dependencies.settings().appendTimeoutMs())
			.whenComplete((accepted, error) -> {
				if (this.isEnded || scheduledAttempt != this.currentAttempt) {
					return;
				}
				if (error != null) {
					if (isFirstForward && error instanceof PeerException failure
							&& failure.failure() == PeerFailure.NOT_SENT) {
						this.homesThatMayHaveRun.remove(owner);
					}
					scheduleRouting();
				}
				else if (accepted.isAccepted()) {
					this.lastProgressMs = this.dependencies.timer().nowMs();
					scheduleProgressCheck(scheduledAttempt);
				}
				else {
					if (isFirstForward) {
						this.homesThatMayHaveRun.remove(owner);
					}
					forwardDeclined(owner, accepted);
				}
			});
	}

	private void forwardDeclined(InstanceId owner, CallAccepted accepted) {
		if (accepted.hint() != null) {
			this.homes.controller().table().updateIfNewer(accepted.hint());
		}
		this.dependencies.events().record("call.declined", "call", this.callId, "by", owner);
		this.homes.controller().table().refreshEarly();
		scheduleRouting();
	}

	private void scheduleProgressCheck(long scheduledAttempt) {
		this.dependencies.timer().schedule(PROGRESS_TIMEOUT_MS, () -> {
			if (this.isEnded || scheduledAttempt != this.currentAttempt) {
				return;
			}
			if (this.dependencies.timer().nowMs() - this.lastProgressMs >= PROGRESS_TIMEOUT_MS) {
				route();
			}
			else {
				scheduleProgressCheck(scheduledAttempt);
			}
		});
	}

	private long remainingMs() {
		return this.deadlineMs - this.dependencies.timer().nowMs();
	}

	private void end() {
		this.isEnded = true;
		this.onEnd.run();
	}

}
