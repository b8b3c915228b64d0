package dev.nutmegdoor.experiment.soak;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * One attempt of a caller at a call, over one connection to one entry instance. The
 * connection breaks when that instance crashes or stays silent.
 */
final class Attempt implements CallListener {

	private static final long CHECK_MS = 250;

	private static final long PATIENCE_MS = 5_000;

	private final SimCluster cluster;

	private final SimInstance entry;

	private final String name;

	private final CallRequest request;

	private final AttemptListener listener;

	private final StringBuilder text = new StringBuilder();

	private final long giveUpAtMs;

	private @Nullable CallHandle handle;

	private boolean isEnded;

	Attempt(SimCluster cluster, SimInstance entry, String name, CallRequest request, AttemptListener listener) {
		this.cluster = cluster;
		this.entry = entry;
		this.name = name;
		this.request = request;
		this.listener = listener;
		this.giveUpAtMs = cluster.timer().nowMs() + request.timeoutMs() + PATIENCE_MS;
	}

	void start() {
		this.cluster.observer().attemptStarted(this.name);
		this.entry.host().run(() -> this.entry.limiter().admit(this.request.workspace()).thenAccept((admission) -> {
			if (admission.isAdmitted()) {
				this.handle = this.entry.routing().run(this.request, this);
			}
			else {
				refused(Refusal.notRun(RefusalReason.RATE_LIMITED, admission.rule(), admission.retryAfterMs()));
			}
		}));
		watch();
	}

	/**
	 * Breaks the connection from the caller's side.
	 */
	void disconnect() {
		CallHandle current = this.handle;
		if (!this.isEnded && current != null) {
			end(false);
			this.entry.host().run(current::cancel);
			this.listener.ended(null, null);
		}
	}

	private void watch() {
		this.cluster.timer().schedule(CHECK_MS, () -> {
			boolean isBroken = this.entry.host().isCrashed() || this.cluster.timer().nowMs() > this.giveUpAtMs;
			if (!this.isEnded && isBroken) {
				end(false);
				this.listener.ended(null, null);
			}
			else if (!this.isEnded) {
				watch();
			}
		});
	}

	private void end(boolean isNotRun) {
		this.isEnded = true;
		this.cluster.observer().attemptEnded(this.name, isNotRun);
	}

	@Override
	public void generated(int offset, String piece) {
		OutboundEffects.run(this.entry.host(), () -> {
			if (this.isEnded) {
				return;
			}
			this.cluster.observer()
				.invariants()
				.check(Invariant.ANSWER_MATCH, offset == this.text.length(),
						() -> this.name + " has a gap in its stream at " + this.text.length());
			this.text.append(piece);
		});
	}

	@Override
	public void completed(CallResult result) {
		OutboundEffects.run(this.entry.host(), () -> {
			if (this.isEnded) {
				return;
			}
			end(false);
			if (result.status() == 200) {
				this.cluster.observer().delivered(this.name, result.body());
			}
			if (this.request.payload() instanceof ModelCall) {
				this.cluster.observer()
					.invariants()
					.check(Invariant.ANSWER_MATCH, this.text.isEmpty() || this.text.toString().equals(result.body()),
							() -> this.name + " streamed " + this.text + " but completed " + result.body());
			}
			this.listener.ended(result, null);
		});
	}

	@Override
	public void refused(Refusal refusal) {
		OutboundEffects.run(this.entry.host(), () -> {
			if (this.isEnded) {
				return;
			}
			this.cluster.trace().add(this.name + " refused " + refusal.reason() + " " + refusal.run());
			end(refusal.run() == RunState.NOT_RUN);
			this.listener.ended(null, refusal);
		});
	}

}
