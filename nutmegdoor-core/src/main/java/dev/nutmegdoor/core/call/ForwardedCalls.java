package dev.nutmegdoor.core.call;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.program.HomeLostException;
import dev.nutmegdoor.core.program.PartitionHint;
import dev.nutmegdoor.core.program.ProgramDependencies;
import dev.nutmegdoor.core.program.ProgramException;
import dev.nutmegdoor.core.program.ProgramHomes;

/**
 * Runs the calls that entry instances forward to this home: each call once per
 * identifier. Streams generated text back and resends the outcome until the entry
 * instance acknowledges it or the maximum number of attempts is reached. Confined to the
 * control thread.
 */
public final class ForwardedCalls {

	/**
	 * Time for which an ended call is kept, so that a forward delayed in the network does
	 * not start the call again after a refusal.
	 */
	private static final long ENDED_CALL_RETENTION_MS = 120_000;

	private static final int OUTCOME_ATTEMPTS = 20;

	private final ProgramDependencies dependencies;

	private final ProgramHomes homes;

	private final Map<String, ForwardedCall> calls = new HashMap<>();

	public ForwardedCalls(ProgramDependencies dependencies, ProgramHomes homes) {
		this.dependencies = dependencies;
		this.homes = homes;
		dependencies.transport()
			.subscribe(CallForward.class,
					(from, forward) -> CompletableFuture.completedFuture(forwardReceived(from, forward)));
		dependencies.transport().subscribe(CallResume.class, (from, resume) -> {
			ForwardedCall call = this.calls.get(resume.callId());
			if (call != null) {
				call.resume(resume.offset());
			}
			return null;
		});
		dependencies.transport().subscribe(CallCancel.class, (from, cancel) -> {
			ForwardedCall call = this.calls.get(cancel.callId());
			if (call != null) {
				call.handle.cancel();
			}
			return null;
		});
		dependencies.transport()
			.subscribe(ProgramOpen.class, (from, open) -> homes.open(open.program(), open.workspace(), open.parent())
				.handle((id, error) -> new ProgramAnswer(open.program(), refusalOf(error))));
		dependencies.transport()
			.subscribe(ProgramClose.class, (from, close) -> homes.close(close.program(), close.workspace())
				.handle((ignored, error) -> new ProgramAnswer(close.program(), refusalOf(error))));
	}

	public int size() {
		return this.calls.size();
	}

	private CallAccepted forwardReceived(InstanceId from, CallForward forward) {
		ForwardedCall existing = this.calls.get(forward.callId());
		if (existing != null) {
			existing.resume(forward.offset());
			return new CallAccepted(forward.callId(), true, null);
		}
		CallRequest request = forward.request();
		ProgramId logId = this.homes.logOf(request);
		if (logId != null && !this.homes.isServing(logId.partitionName())) {
			PartitionHint hint = this.homes.controller().table().find(logId.partitionName());
			return new CallAccepted(forward.callId(), false, hint);
		}
		ForwardedCall call = new ForwardedCall(forward.callId(), from);
		this.calls.put(forward.callId(), call);
		call.handle = this.homes.run(request, call);
		return new CallAccepted(forward.callId(), true, null);
	}

	static @Nullable Refusal refusalOf(@Nullable Throwable error) {
		if (error == null) {
			return null;
		}
		Throwable cause = (error.getCause() != null) ? error.getCause() : error;
		if (cause instanceof ProgramException exception) {
			return exception.refusal();
		}
		RefusalReason reason = (cause instanceof HomeLostException) ? RefusalReason.NOT_OWNER : RefusalReason.INTERNAL;
		return new Refusal(reason, RunState.UNKNOWN, "the home of the program changed", 500);
	}

	private final class ForwardedCall implements CallListener {

		private final String callId;

		private final InstanceId entry;

		private final StringBuilder generatedText = new StringBuilder();

		private CallHandle handle = () -> {
		};

		private @Nullable CallOutcome outcome;

		private boolean isOutcomeInFlight;

		private ForwardedCall(String callId, InstanceId entry) {
			this.callId = callId;
			this.entry = entry;
		}

		private void resume(int offset) {
			if (this.outcome != null) {
				sendOutcome(this.outcome, 0);
			}
			else if (offset >= 0 && offset < this.generatedText.length()) {
				ForwardedCalls.this.dependencies.transport()
					.send(this.entry, new CallChunk(this.callId, offset, this.generatedText.substring(offset)));
			}
		}

		@Override
		public void generated(int offset, String chunk) {
			if (offset == this.generatedText.length()) {
				this.generatedText.append(chunk);
				ForwardedCalls.this.dependencies.transport()
					.send(this.entry, new CallChunk(this.callId, offset, chunk));
			}
		}

		@Override
		public void completed(CallResult result) {
			end(new CallOutcome(this.callId, result, null));
		}

		@Override
		public void refused(Refusal refusal) {
			end(new CallOutcome(this.callId, null, refusal));
		}

		private void end(CallOutcome finalOutcome) {
			this.outcome = finalOutcome;
			this.generatedText.setLength(0);
			ForwardedCalls.this.dependencies.timer()
				.schedule(ENDED_CALL_RETENTION_MS, () -> ForwardedCalls.this.calls.remove(this.callId));
			sendOutcome(finalOutcome, 0);
		}

		private void sendOutcome(CallOutcome finalOutcome, int attempt) {
			if (this.isOutcomeInFlight || attempt >= OUTCOME_ATTEMPTS) {
				return;
			}
			this.isOutcomeInFlight = true;
			ProgramDependencies dependencies = ForwardedCalls.this.dependencies;
			dependencies.transport()
				.request(this.entry, finalOutcome, CallOutcomeAck.class, dependencies.settings().appendTimeoutMs())
				.whenComplete((acknowledgement, error) -> {
					this.isOutcomeInFlight = false;
					if (error != null) {
						sendOutcome(finalOutcome, attempt + 1);
					}
				});
		}

	}

}
