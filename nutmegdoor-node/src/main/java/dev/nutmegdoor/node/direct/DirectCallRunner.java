package dev.nutmegdoor.node.direct;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.configuration.WorkKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.ServiceAnswer;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Sends each call at once to the upstream with the fewest calls in flight. A call moves
 * to another upstream only as long as nothing of it was written.
 */
public final class DirectCallRunner implements CallRunner {

	private static final int MAX_ATTEMPTS = 3;

	private static final int LOWEST_PRIORITY = 1_000;

	private static final long RETRY_AFTER_MS = 1_000;

	private final ConfigurationView configuration;

	private final EngineClient engines;

	private final ServiceClient services;

	private final TimerService timers;

	private final UpstreamChoice choice;

	public DirectCallRunner(ConfigurationView configuration, AvailabilityZone ownZone, EngineClient engines,
			ServiceClient services, TimerService timers) {
		this.configuration = configuration;
		this.engines = engines;
		this.services = services;
		this.timers = timers;
		this.choice = new UpstreamChoice(configuration, ownZone);
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		Attempt attempt = new Attempt(request, listener);
		attempt.start();
		return attempt;
	}

	private int priorityOf(CallRequest request) {
		Configuration current = this.configuration.current();
		Workspace workspace = current.workspaces().get(request.workspace());
		WorkKind kind = current.workKinds().get(request.workKind());
		int standard = (kind != null) ? kind.priority() : LOWEST_PRIORITY;
		return (workspace != null) ? workspace.workPriorities().getOrDefault(request.workKind(), standard) : standard;
	}

	/**
	 * The attempts at one call.
	 */
	private final class Attempt implements CallHandle {

		private final CallRequest request;

		private final CallListener listener;

		private final Set<UpstreamId> tried = new HashSet<>();

		private final Subscription deadline;

		private @Nullable Upstream upstream;

		private boolean isInterruptible = true;

		private boolean isDone;

		private Attempt(CallRequest request, CallListener listener) {
			this.request = request;
			this.listener = listener;
			this.deadline = DirectCallRunner.this.timers.schedule(request.timeoutMs(),
					() -> end(RefusalReason.DEADLINE_EXCEEDED, "the call took longer than its time limit"));
		}

		private void start() {
			UpstreamKind kind;
			String name;
			if (this.request.payload() instanceof ServiceCall call) {
				ServiceOperation operation = DirectCallRunner.this.configuration.current()
					.operations()
					.get(call.service() + "/" + call.operation());
				if (operation == null) {
					refuse(Refusal.notRun(RefusalReason.NOT_FOUND, "no such operation", 0));
					return;
				}
				this.isInterruptible = operation.repeatability().isRetryable();
				kind = UpstreamKind.SERVICE;
				name = call.service();
			}
			else {
				kind = UpstreamKind.MODEL_ENGINE;
				name = ((ModelCall) this.request.payload()).model();
			}
			Optional<Upstream> chosen = DirectCallRunner.this.choice.acquire(kind, name, this.tried);
			if (chosen.isEmpty()) {
				refuse(Refusal.notRun(RefusalReason.NO_UPSTREAM, "no upstream for " + name + " has a free place",
						RETRY_AFTER_MS));
				return;
			}
			this.upstream = chosen.get();
			this.tried.add(chosen.get().id());
			send(chosen.get());
		}

		private void send(Upstream target) {
			if (this.request.payload() instanceof ServiceCall call) {
				DirectCallRunner.this.services.call(target, call, this.request.timeoutMs())
					.whenComplete((answer, error) -> {
						if (error != null) {
							fail(target, error);
						}
						else {
							complete(target, answer);
						}
					});
				return;
			}
			ModelCall call = (ModelCall) this.request.payload();
			EngineRequest engineRequest = new EngineRequest(this.request.decision().value(), call.model(),
					this.request.program(), call.messagesJson(), List.of(), call.promptTokens(), call.maxTokens(),
					priorityOf(this.request));
			DirectCallRunner.this.engines.generate(target, engineRequest, (offset, text, tokens) -> {
				if (!this.isDone) {
					this.listener.generated(offset, text);
				}
			}).whenComplete((result, error) -> {
				if (error != null) {
					fail(target, error);
				}
				else {
					complete(target, result);
				}
			});
		}

		private void complete(Upstream target, EngineResult result) {
			complete(target, new CallResult(target.id(), 200, result.text(), result.promptTokens(),
					result.cachedTokens(), result.generatedTokens()));
		}

		private void complete(Upstream target, ServiceAnswer answer) {
			if (answer.status() >= 500) {
				fail(target, new UpstreamException(RunState.UNKNOWN, "status " + answer.status()));
				return;
			}
			complete(target, new CallResult(target.id(), answer.status(), answer.body(), 0, 0, 0));
		}

		private void complete(Upstream target, CallResult result) {
			DirectCallRunner.this.choice.release(target);
			if (!this.isDone) {
				finish();
				this.listener.completed(result);
			}
		}

		private void fail(Upstream target, Throwable error) {
			DirectCallRunner.this.choice.release(target);
			this.upstream = null;
			if (this.isDone) {
				return;
			}
			Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause()
					: error;
			RunState run = (cause instanceof UpstreamException failure) ? failure.run() : RunState.UNKNOWN;
			if (run == RunState.NOT_RUN && this.tried.size() < MAX_ATTEMPTS) {
				start();
				return;
			}
			if (run == RunState.NOT_RUN) {
				refuse(Refusal.notRun(RefusalReason.NO_UPSTREAM, "no upstream could be reached", RETRY_AFTER_MS));
				return;
			}
			RefusalReason reason = this.isInterruptible ? RefusalReason.UPSTREAM_FAILED : RefusalReason.OUTCOME_UNKNOWN;
			refuse(new Refusal(reason, run, "upstream " + target.id() + " failed",
					this.isInterruptible ? RETRY_AFTER_MS : 0));
		}

		@Override
		public void cancel() {
			if (this.isInterruptible || this.upstream == null) {
				end(RefusalReason.CANCELLED, "the call was cancelled");
			}
		}

		private void end(RefusalReason reason, String detail) {
			if (this.isDone) {
				return;
			}
			Upstream target = this.upstream;
			if (target != null && this.request.payload() instanceof ModelCall) {
				DirectCallRunner.this.engines.cancel(target, this.request.decision().value());
			}
			RunState run = (target != null) ? RunState.UNKNOWN : RunState.NOT_RUN;
			RefusalReason actual = (!this.isInterruptible && target != null) ? RefusalReason.OUTCOME_UNKNOWN : reason;
			refuse(new Refusal(actual, run, detail, 0));
		}

		private void refuse(Refusal refusal) {
			finish();
			this.listener.refused(refusal);
		}

		private void finish() {
			this.isDone = true;
			this.deadline.cancel();
		}

	}

}
