package dev.nutmegdoor.core.call;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Runs calls on upstreams without queueing. Rendezvous hashing assigns a program to the
 * same engine for all its calls. Used by the homes where no scheduler is configured.
 */
public final class DirectCallRunner implements CallRunner {

	private static final long RETRY_AFTER_MS = 500;

	private final ConfigurationView configuration;

	private final EngineClient engines;

	private final ServiceClient services;

	public DirectCallRunner(ConfigurationView configuration, EngineClient engines, ServiceClient services) {
		this.configuration = configuration;
		this.engines = engines;
		this.services = services;
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		if (request.payload() instanceof ModelCall call) {
			return generate(request, call, listener);
		}
		ServiceCall call = (ServiceCall) request.payload();
		Upstream upstream = chooseUpstream(UpstreamKind.SERVICE, call.service(), request);
		if (upstream == null) {
			listener.refused(noUpstreamRefusal(call.service()));
			return () -> {
			};
		}
		this.services.call(upstream, call, request.timeoutMs()).whenComplete((response, error) -> {
			if (error != null) {
				listener.refused(refusalOf(error));
			}
			else {
				listener.completed(new CallResult(upstream.id(), response.status(), response.body(), 0, 0, 0));
			}
		});
		return () -> {
		};
	}

	private CallHandle generate(CallRequest request, ModelCall call, CallListener listener) {
		Upstream upstream = chooseUpstream(UpstreamKind.MODEL_ENGINE, call.model(), request);
		if (upstream == null) {
			listener.refused(noUpstreamRefusal(call.model()));
			return () -> {
			};
		}
		String streamId = request.decision().value();
		EngineRequest engineRequest = new EngineRequest(streamId, call.model(), request.program(), call.messagesJson(),
				List.of(), call.promptTokens(), call.maxTokens(), 0);
		CompletableFuture<EngineResult> result = this.engines.generate(upstream, engineRequest,
				(offset, text, tokens) -> listener.generated(offset, text));
		result.whenComplete((generation, error) -> {
			if (error != null) {
				listener.refused(refusalOf(error));
			}
			else {
				listener.completed(new CallResult(upstream.id(), 200, generation.text(), generation.promptTokens(),
						generation.cachedTokens(), generation.generatedTokens()));
			}
		});
		return () -> {
			if (!result.isDone()) {
				this.engines.cancel(upstream, streamId);
			}
		};
	}

	private @Nullable Upstream chooseUpstream(UpstreamKind kind, String name, CallRequest request) {
		String affinityKey = Objects.toString(request.program(), request.decision().value());
		return this.configuration.current()
			.upstreams()
			.values()
			.stream()
			.filter((upstream) -> upstream.kind() == kind && upstream.serves().contains(name) && !upstream.isLeaving())
			.max(Comparator
				.comparingLong(
						(Upstream upstream) -> LongHashFunction.xx().hashChars(affinityKey + "@" + upstream.id()))
				.thenComparing(Upstream::id))
			.orElse(null);
	}

	private static Refusal noUpstreamRefusal(String name) {
		return Refusal.notRun(RefusalReason.NO_UPSTREAM, "no replica serves " + name, RETRY_AFTER_MS);
	}

	private static Refusal refusalOf(Throwable error) {
		Throwable cause = (error.getCause() != null) ? error.getCause() : error;
		RunState runState = (cause instanceof UpstreamException failure) ? failure.run() : RunState.UNKNOWN;
		return new Refusal(RefusalReason.UPSTREAM_FAILED, runState, "the upstream failed", RETRY_AFTER_MS);
	}

}
