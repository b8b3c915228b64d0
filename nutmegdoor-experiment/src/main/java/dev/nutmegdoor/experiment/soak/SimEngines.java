package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.time.VirtualTimerService;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.TokenListener;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Engines that answer with the last message of the prompt and a number, keep the prefixes
 * of programs until they are released, and end a stream when its connection breaks.
 */
final class SimEngines {

	private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");

	private static final int PIECES = 3;

	private final VirtualTimerService timer;

	private final UniformRandomProvider random;

	private final InvariantObserver observer;

	private final Map<String, TreeSet<String>> caches = new TreeMap<>();

	private final Map<String, Stream> streams = new LinkedHashMap<>();

	private UpstreamFaults faults = UpstreamFaults.NONE;

	private long answers;

	SimEngines(VirtualTimerService timer, UniformRandomProvider random, InvariantObserver observer) {
		this.timer = timer;
		this.random = random;
		this.observer = observer;
	}

	void setFaults(UpstreamFaults faults) {
		this.faults = faults;
	}

	EngineClient clientOf(FakeHost host) {
		return new Client(host);
	}

	void checkReleased() {
		this.caches
			.forEach((engine, programs) -> programs.forEach((program) -> this.observer.checkReleased(engine, program)));
	}

	private Set<String> cache(Upstream upstream) {
		return this.caches.computeIfAbsent(upstream.id().value(), (key) -> new TreeSet<>());
	}

	private static final class Stream {

		private boolean isCancelled;

		private boolean isReleased;

		private final String program;

		private Stream(String program) {
			this.program = program;
		}

	}

	private final class Client implements EngineClient {

		private final FakeHost host;

		private Client(FakeHost host) {
			this.host = host;
		}

		private <T> void fail(CompletableFuture<T> result, RunState run, String detail) {
			this.host.schedule(1, () -> result.completeExceptionally(new UpstreamException(run, detail)));
		}

		@Override
		public CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request,
				TokenListener listener) {
			return OutboundEffects.call(this.host, () -> {
				CompletableFuture<EngineResult> result = new CompletableFuture<>();
				SimEngines.this.timer.schedule(1 + SimEngines.this.random.nextInt(3),
						() -> receive(upstream, request, listener, result));
				return result;
			});
		}

		private void receive(Upstream upstream, EngineRequest request, TokenListener listener,
				CompletableFuture<EngineResult> result) {
			if (SimEngines.this.random.nextDouble() < SimEngines.this.faults.refusal()) {
				fail(result, RunState.NOT_RUN, "connection refused");
				return;
			}
			List<String> contents = new ArrayList<>();
			Matcher matcher = CONTENT.matcher(request.messagesJson());
			while (matcher.find()) {
				contents.add(matcher.group(1));
			}
			SimEngines.this.observer.prompted(contents);
			Stream stream = new Stream(String.valueOf(request.program()));
			SimEngines.this.streams.put(upstream.id() + "/" + request.streamId(), stream);
			cache(upstream).add(stream.program);
			String text = contents.get(contents.size() - 1) + "=" + SimEngines.this.answers++;
			boolean isReset = SimEngines.this.random.nextDouble() < SimEngines.this.faults.reset();
			emit(upstream, stream, text, 0, isReset ? 1 : PIECES, listener, result, request);
		}

		private void emit(Upstream upstream, Stream stream, String text, int piece, int pieces, TokenListener listener,
				CompletableFuture<EngineResult> result, EngineRequest request) {
			SimEngines.this.timer.schedule(10 + SimEngines.this.random.nextInt(60), () -> {
				if (this.host.isCrashed() || stream.isCancelled) {
					SimEngines.this.streams.values().remove(stream);
					fail(result, RunState.UNKNOWN, "stream ended early");
					return;
				}
				if (!stream.isReleased) {
					cache(upstream).add(stream.program);
				}
				if (piece == pieces) {
					SimEngines.this.streams.values().remove(stream);
					finish(pieces, text, result, request);
					return;
				}
				int from = text.length() * piece / PIECES;
				int to = text.length() * (piece + 1) / PIECES;
				this.host.schedule(1, () -> listener.generated(from, text.substring(from, to), 1));
				emit(upstream, stream, text, piece + 1, pieces, listener, result, request);
			});
		}

		private void finish(int pieces, String text, CompletableFuture<EngineResult> result, EngineRequest request) {
			if (pieces < PIECES) {
				fail(result, RunState.UNKNOWN, "connection reset");
				return;
			}
			this.host.schedule(2, () -> result.complete(new EngineResult(text, request.promptTokens(), 0, PIECES)));
		}

		@Override
		public CompletableFuture<Void> cancel(Upstream upstream, String streamId) {
			return OutboundEffects.call(this.host, () -> {
				Stream stream = SimEngines.this.streams.get(upstream.id() + "/" + streamId);
				if (stream != null) {
					stream.isCancelled = true;
				}
				return CompletableFuture.completedFuture(null);
			});
		}

		@Override
		public CompletableFuture<Void> release(Upstream upstream, ProgramId program) {
			return OutboundEffects.call(this.host, () -> {
				CompletableFuture<Void> result = new CompletableFuture<>();
				SimEngines.this.timer.schedule(2, () -> {
					boolean isRefused = SimEngines.this.random.nextDouble() < SimEngines.this.faults.refusal();
					if (!isRefused) {
						cache(upstream).remove(program.toString());
						SimEngines.this.streams.values()
							.stream()
							.filter((stream) -> stream.program.equals(program.toString()))
							.forEach((stream) -> stream.isReleased = true);
					}
					if (isRefused || SimEngines.this.random.nextDouble() < SimEngines.this.faults.reset()) {
						fail(result, RunState.UNKNOWN, "no answer to the release");
					}
					else {
						this.host.schedule(2, () -> result.complete(null));
					}
				});
				return result;
			});
		}

		@Override
		public CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program) {
			return CompletableFuture.completedFuture(0);
		}

		@Override
		public CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs) {
			return CompletableFuture.completedFuture(null);
		}

	}

}
