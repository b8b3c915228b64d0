package dev.nutmegdoor.node.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Runs calls with an idempotency key at most once, as long as this process runs: a
 * repeated call joins the first one or receives its outcome. A call with an unknown
 * outcome is never resent.
 */
public final class AtMostOnceCallRunner implements CallRunner {

	/** Time for which an idempotency key is retained (design, section 4.6). */
	private static final long KEY_RETENTION_MS = 86_400_000;

	private final CallRunner next;

	private final ConfigurationView configuration;

	private final TimerService timers;

	private final InvariantRegistry invariants;

	private final Map<String, CoalescedCall> calls = new HashMap<>();

	private final Map<String, CallHandle> handles = new HashMap<>();

	private final Set<String> sentKeys = new HashSet<>();

	public AtMostOnceCallRunner(CallRunner next, ConfigurationView configuration, TimerService timers,
			InvariantRegistry invariants) {
		this.next = next;
		this.configuration = configuration;
		this.timers = timers;
		this.invariants = invariants;
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		if (!(request.payload() instanceof ServiceCall call)) {
			return this.next.run(request, listener);
		}
		if (call.idempotencyKey() == null) {
			ServiceOperation operation = this.configuration.current()
				.operations()
				.get(call.service() + "/" + call.operation());
			if (operation == null || operation.repeatability().isRetryable()) {
				return this.next.run(request, listener);
			}
			listener.refused(Refusal.notRun(RefusalReason.MALFORMED_REQUEST,
					"operation " + operation.qualifiedName() + " needs the header Idempotency-Key", 0));
			return () -> {
			};
		}
		return runAtMostOnce(request, call, call.idempotencyKey(), listener);
	}

	private CallHandle runAtMostOnce(CallRequest request, ServiceCall call, String idempotencyKey,
			CallListener listener) {
		String key = request.workspace() + ":" + idempotencyKey;
		CoalescedCall existing = this.calls.get(key);
		if (existing != null && !existing.hasPayload(call)) {
			listener.refused(Refusal.notRun(RefusalReason.IDEMPOTENCY_KEY_REUSED,
					"the idempotency key was used for a different call", 0));
			return () -> {
			};
		}
		if (existing != null) {
			return existing.attach(listener, () -> cancel(key));
		}
		this.invariants.check(Invariant.AT_MOST_ONCE, this.sentKeys.add(key),
				() -> "call " + key + " is sent although it was sent before");
		CoalescedCall coalesced = new CoalescedCall(call, new NotRunListener(key));
		this.calls.put(key, coalesced);
		CallHandle result = coalesced.attach(listener, () -> cancel(key));
		ServiceCall scoped = new ServiceCall(call.service(), call.operation(), call.body(), key);
		CallRequest scopedRequest = new CallRequest(request.decision(), request.workspace(), request.key(),
				request.program(), request.turn(), request.workKind(), scoped, request.timeoutMs());
		CallHandle handle = this.next.run(scopedRequest, coalesced);
		this.handles.put(key, handle);
		this.timers.schedule(KEY_RETENTION_MS, () -> discard(key));
		return result;
	}

	private void cancel(String key) {
		CallHandle handle = this.handles.get(key);
		if (handle != null) {
			handle.cancel();
		}
	}

	private void discard(String key) {
		this.calls.remove(key);
		this.handles.remove(key);
		this.sentKeys.remove(key);
	}

	/**
	 * Discards the entry of a call that did not run, so that a later call with the same
	 * key can run.
	 */
	private final class NotRunListener implements CallListener {

		private final String key;

		private NotRunListener(String key) {
			this.key = key;
		}

		@Override
		public void generated(int offset, String text) {
		}

		@Override
		public void completed(CallResult result) {
		}

		@Override
		public void refused(Refusal refusal) {
			if (refusal.run() == RunState.NOT_RUN) {
				discard(this.key);
			}
		}

	}

}
