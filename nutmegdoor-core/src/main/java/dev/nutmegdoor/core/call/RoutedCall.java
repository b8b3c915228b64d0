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
 * One call at its entry instance. It follows its program from home to home until it has
 * an outcome or its time is up; homes recognise a call that they have seen before.
 */
final class RoutedCall {

	/** Silence of the home after which the call is sent again to resume it. */
	private static final long POLL_MS = 1_000;

	private final String callId;

	private final CallRequest request;

	private final String partition;

	private final CallListener listener;

	private final ProgramDependencies dependencies;

	private final ProgramHomes homes;

	private final HomeLocator routes;

	private final Runnable whenEnded;

	private final long deadlineMs;

	private final Set<InstanceId> mayHaveRun = new HashSet<>();

	private @Nullable InstanceId home;

	private CallHandle localHandle = () -> {
	};

	private final StringBuilder delivered = new StringBuilder();

	private boolean isOtherHome;

	private long lastProgressMs;

	private long attempt;

	private boolean isEnded;

	RoutedCall(String callId, CallRequest request, String partition, CallListener listener,
			ProgramDependencies dependencies, ProgramHomes homes, HomeLocator routes, Runnable whenEnded) {
		this.callId = callId;
		this.request = request;
		this.partition = partition;
		this.listener = listener;
		this.dependencies = dependencies;
		this.homes = homes;
		this.routes = routes;
		this.whenEnded = whenEnded;
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

	void chunk(InstanceId from, CallChunk chunk) {
		if (this.isEnded || !from.equals(this.home)) {
			return;
		}
		this.lastProgressMs = this.dependencies.timer().nowMs();
		if (chunk.offset() > this.delivered.length()) {
			this.dependencies.transport().send(from, new CallResume(this.callId, this.delivered.length()));
			return;
		}
		deliver(chunk.offset(), chunk.text());
	}

	void outcome(InstanceId from, CallOutcome outcome) {
		if (!this.isEnded && from.equals(this.home)) {
			finish(from, outcome.result(), outcome.refusal());
		}
	}

	private void deliver(int offset, String text) {
		int length = this.delivered.length();
		// Another home may generate another text; the rest then waits for the whole
		// answer.
		if (!this.isOtherHome && offset <= length && offset + text.length() > length) {
			String fresh = text.substring(length - offset);
			this.delivered.append(fresh);
			this.listener.generated(length, fresh);
		}
	}

	private void recordHome(InstanceId newHome) {
		if (this.home != null && !newHome.equals(this.home)) {
			this.isOtherHome |= !this.delivered.isEmpty();
		}
		this.home = newHome;
	}

	private void finish(InstanceId from, @Nullable CallResult result, @Nullable Refusal refusal) {
		if (result != null) {
			if (this.request.payload() instanceof ModelCall) {
				if (!result.body().startsWith(this.delivered.toString())) {
					refuse(new Refusal(RefusalReason.UPSTREAM_FAILED, RunState.RAN,
							"the stream broke; the stored answer is given when the call is repeated",
							HomeLocator.RETRY_MS));
					return;
				}
				this.isOtherHome = false;
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
			this.mayHaveRun.remove(from);
		}
		if (refusal.reason() == RefusalReason.NOT_OWNER && remainingMs() > HomeLocator.RETRY_MS) {
			this.isOtherHome |= !this.delivered.isEmpty();
			this.homes.controller().table().refreshEarly();
			scheduleRouting();
			return;
		}
		refuse(refusal);
	}

	// The caller is told "not run" only if no earlier home can have run the call.
	private void refuse(Refusal refusal) {
		end();
		boolean isTruthful = refusal.run() != RunState.NOT_RUN || this.mayHaveRun.isEmpty();
		this.listener.refused(isTruthful ? refusal
				: new Refusal(refusal.reason(), RunState.UNKNOWN, refusal.detail(), refusal.retryAfterMs()));
	}

	private void timeOut() {
		if (this.isEnded) {
			return;
		}
		this.localHandle.cancel();
		refuse(this.mayHaveRun.isEmpty() ? HomeLocator.UNREACHABLE
				: new Refusal(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN, "the call took too long", 0));
	}

	private void scheduleRouting() {
		long current = ++this.attempt;
		this.dependencies.timer().schedule(HomeLocator.RETRY_MS, () -> {
			if (current == this.attempt) {
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
		InstanceId owner = this.routes.routableOwner(this.partition);
		boolean isElsewhere = owner != null && !owner.equals(this.dependencies.transport().self());
		if (owner != null && isElsewhere) {
			forward(owner);
			return;
		}
		if (owner == null && this.mayHaveRun.isEmpty() && !this.routes.isTakeoverExpected(this.partition)) {
			refuse(HomeLocator.UNREACHABLE);
			return;
		}
		this.homes.controller().table().refreshEarly();
		scheduleRouting();
	}

	private void runLocally() {
		InstanceId self = this.dependencies.transport().self();
		recordHome(self);
		this.mayHaveRun.add(self);
		CallRequest local = new CallRequest(this.request.decision(), this.request.workspace(), this.request.key(),
				this.request.program(), this.request.turn(), this.request.workKind(), this.request.payload(),
				Math.max(1, remainingMs()));
		CallHandle handle = this.homes.run(local, new CallListener() {

			@Override
			public void generated(int offset, String text) {
				if (!RoutedCall.this.isEnded) {
					deliver(offset, text);
				}
			}

			@Override
			public void completed(CallResult result) {
				outcome(self, new CallOutcome(RoutedCall.this.callId, result, null));
			}

			@Override
			public void refused(Refusal refusal) {
				outcome(self, new CallOutcome(RoutedCall.this.callId, null, refusal));
			}

		});
		this.localHandle = handle;
	}

	private void forward(InstanceId owner) {
		recordHome(owner);
		boolean isFirst = this.mayHaveRun.add(owner);
		long current = ++this.attempt;
		this.dependencies.steps().reached(Step.FORWARD);
		CallForward forward = CallForward.of(this.callId, this.request, Math.max(1, remainingMs()),
				this.delivered.length());
		this.dependencies.transport()
			.request(owner, forward, CallAccepted.class, this.dependencies.settings().appendTimeoutMs())
			.whenComplete((accepted, error) -> {
				if (this.isEnded || current != this.attempt) {
					return;
				}
				if (error != null) {
					if (isFirst && error instanceof PeerException failure
							&& failure.failure() == PeerFailure.NOT_SENT) {
						this.mayHaveRun.remove(owner);
					}
					scheduleRouting();
				}
				else if (accepted.isAccepted()) {
					this.lastProgressMs = this.dependencies.timer().nowMs();
					schedulePoll(current);
				}
				else {
					if (isFirst) {
						this.mayHaveRun.remove(owner);
					}
					declined(owner, accepted);
				}
			});
	}

	private void declined(InstanceId owner, CallAccepted accepted) {
		if (accepted.hint() != null) {
			this.homes.controller().table().updateIfNewer(accepted.hint());
		}
		this.dependencies.events().record("call.declined", "call", this.callId, "by", owner);
		this.homes.controller().table().refreshEarly();
		scheduleRouting();
	}

	private void schedulePoll(long current) {
		this.dependencies.timer().schedule(POLL_MS, () -> {
			if (this.isEnded || current != this.attempt) {
				return;
			}
			if (this.dependencies.timer().nowMs() - this.lastProgressMs >= POLL_MS) {
				route();
			}
			else {
				schedulePoll(current);
			}
		});
	}

	private long remainingMs() {
		return this.deadlineMs - this.dependencies.timer().nowMs();
	}

	private void end() {
		this.isEnded = true;
		this.whenEnded.run();
	}

}
