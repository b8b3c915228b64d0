package dev.nutmegdoor.standin.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.standin.engine.CachedPrefix;
import dev.nutmegdoor.standin.engine.EngineModel;

/**
 * A model engine behind HTTP: generation as server-sent events, cancellation, release,
 * export and import of cached prefixes, loading of models with fencing numbers, load
 * reports and cache events.
 */
public final class EngineStandin implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int CONFLICT = 409;

	private static final int NOT_FOUND = 404;

	private final EngineStandinSettings settings;

	private final TimerService timers;

	private final UpstreamObserver observer;

	private final EngineModel model;

	private final DisposableServer server;

	/**
	 * Starts an engine.
	 * @param settings settings of the engine
	 * @param seed seed of its faults and lost events
	 * @param timers thread of the engine
	 * @param observer learns what the engine sees
	 */
	public EngineStandin(EngineStandinSettings settings, long seed, TimerService timers, UpstreamObserver observer) {
		this.settings = settings;
		this.timers = timers;
		this.observer = observer;
		this.model = new EngineModel(settings.engine(), timers,
				RandomSource.XO_RO_SHI_RO_128_PP.create(seed + settings.id().hashCode()));
		this.server = HttpServer.create()
			.host(settings.listen().host())
			.port(settings.listen().port())
			.route((routes) -> routes.post("/v1/generate", this::generate)
				.post("/v1/cancel", command(this::cancel))
				.post("/v1/release", command(this::release))
				.post("/v1/export", command(this::export))
				.post("/v1/import", this::importPrefix)
				.post("/v1/models/load", this::loadModel)
				.get("/v1/load", (request, response) -> answer(response, () -> json(this.model.report())))
				.post("/v1/events", command((body) -> json(this.model.events(body.path("afterSequence").asLong())))))
			.bindNow();
	}

	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.address();
	}

	/**
	 * Returns the digest with which the answer to a message begins, by which a caller
	 * recognises the answer to its own request.
	 * @param content text of the last message of a request
	 * @return nine characters
	 */
	public static String digest(String content) {
		return String.format("%08x ", content.hashCode());
	}

	private Mono<Void> generate(HttpServerRequest request, HttpServerResponse response) {
		return StandinRequests.read(this.settings.id(), request, this.observer).flatMap((body) -> {
			Sinks.Many<String> sink = Sinks.many().unicast().onBackpressureBuffer();
			this.timers.schedule(0, () -> submit(body, sink));
			String streamId = body.path("streamId").asText();
			Flux<String> events = sink.asFlux()
				.doOnCancel(() -> this.timers.schedule(0, () -> this.model.cancel(streamId)));
			return response.header("Content-Type", "text/event-stream")
				.sendObject(events.map(StandinRequests::buffer), (buffer) -> true)
				.then();
		});
	}

	private void submit(JsonNode body, Sinks.Many<String> sink) {
		EngineRequest request = requestOf(body);
		JsonNode messages = body.path("messages");
		String prefix = digest(messages.path(messages.size() - 1).path("content").asText());
		this.observer.streamStarted(this.settings.id(), request);
		this.model.submit(request, (offset, text, tokens) -> {
			boolean isFirst = offset == 0;
			emit(sink,
					MAPPER.createObjectNode()
						.put("offset", isFirst ? 0 : offset + prefix.length())
						.put("text", isFirst ? prefix + text : text)
						.put("tokens", tokens));
		}).whenComplete((result, error) -> finish(request, sink, result, error));
	}

	private void finish(EngineRequest request, Sinks.Many<String> sink, @Nullable EngineResult result,
			@Nullable Throwable error) {
		if (result == null) {
			emit(sink, MAPPER.createObjectNode().put("error", String.valueOf(causeOf(error))));
		}
		else {
			this.observer.streamEnded(this.settings.id(), request, result);
			emit(sink,
					MAPPER.createObjectNode()
						.put("done", true)
						.put("promptTokens", result.promptTokens())
						.put("cachedTokens", result.cachedTokens())
						.put("generatedTokens", result.generatedTokens()));
		}
		sink.tryEmitComplete();
	}

	private static @Nullable Throwable causeOf(@Nullable Throwable error) {
		return (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
	}

	private static void emit(Sinks.Many<String> sink, JsonNode event) {
		sink.tryEmitNext("data: " + event + "\n\n");
	}

	private static EngineRequest requestOf(JsonNode body) {
		List<Long> hashes = new ArrayList<>();
		body.path("prefixHashes").forEach((hash) -> hashes.add(hash.asLong()));
		return new EngineRequest(body.path("streamId").asText(), body.path("model").asText(),
				body.has("program") ? ProgramId.parse(body.path("program").asText()) : null,
				body.path("messages").toString(), hashes, Math.max(1, body.path("promptTokens").asInt()),
				Math.max(1, body.path("maxTokens").asInt()), body.path("priority").asInt());
	}

	private JsonNode cancel(JsonNode body) {
		return MAPPER.createObjectNode().put("cancelled", this.model.cancel(body.path("streamId").asText()));
	}

	private JsonNode release(JsonNode body) {
		return MAPPER.createObjectNode()
			.put("released", this.model.release(ProgramId.parse(body.path("program").asText())));
	}

	private JsonNode export(JsonNode body) {
		CachedPrefix prefix = this.model.exportPrefix(ProgramId.parse(body.path("program").asText()));
		return (prefix != null) ? json(prefix) : MAPPER.createObjectNode().put("status", NOT_FOUND);
	}

	private Mono<Void> importPrefix(HttpServerRequest request, HttpServerResponse response) {
		return StandinRequests.read(this.settings.id(), request, this.observer)
			.flatMap((body) -> HttpClient.create()
				.post()
				.uri("http://" + body.path("sourceHost").asText() + ":" + body.path("sourcePort").asInt()
						+ "/v1/export")
				.send((out, exported) -> exported
					.sendString(Mono.just(MAPPER.createObjectNode().set("program", body.path("program")).toString())))
				.responseSingle((answer, content) -> content.asString()))
			.flatMap((text) -> {
				CachedPrefix prefix = prefixOf(text);
				return (prefix != null)
						? answerWhen(response,
								() -> this.model.importPrefix(prefix)
									.thenApply((tokens) -> MAPPER.createObjectNode().put("tokens", tokens)))
						: answer(response, () -> MAPPER.createObjectNode().put("tokens", 0));
			});
	}

	private static @Nullable CachedPrefix prefixOf(String text) {
		try {
			JsonNode node = MAPPER.readTree(text);
			return node.has("owner") ? MAPPER.treeToValue(node, CachedPrefix.class) : null;
		}
		catch (JsonProcessingException ex) {
			return null;
		}
	}

	private Mono<Void> loadModel(HttpServerRequest request, HttpServerResponse response) {
		return StandinRequests.read(this.settings.id(), request, this.observer)
			.flatMap((body) -> answerWhen(response, () -> this.model
				.loadModel(body.path("model").asText(), body.path("fencingNumber").asLong())
				.handle((loaded, error) -> (error != null)
						? MAPPER.createObjectNode().put("status", CONFLICT).put("error", String.valueOf(causeOf(error)))
						: MAPPER.createObjectNode().put("loaded", true))));
	}

	private BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> command(Function<JsonNode, JsonNode> action) {
		return (request, response) -> StandinRequests.read(this.settings.id(), request, this.observer)
			.flatMap((body) -> answer(response, () -> action.apply(body)));
	}

	private Mono<Void> answer(HttpServerResponse response, Supplier<JsonNode> action) {
		return answerWhen(response, () -> CompletableFuture.completedFuture(action.get()));
	}

	private Mono<Void> answerWhen(HttpServerResponse response,
			Supplier<? extends CompletableFuture<? extends JsonNode>> action) {
		return Mono.<JsonNode>create((sink) -> this.timers.schedule(0, () -> {
			try {
				action.get().whenComplete((value, error) -> {
					if (error != null) {
						sink.error(error);
					}
					else {
						sink.success(value);
					}
				});
			}
			catch (RuntimeException ex) {
				sink.error(ex);
			}
		})).flatMap((body) -> {
			response.status(body.path("status").asInt(200)).header("Content-Type", "application/json");
			return response.sendString(Mono.just(body.toString())).then();
		});
	}

	private static JsonNode json(Object value) {
		return MAPPER.valueToTree(value);
	}

	/**
	 * Returns whether the engine holds a cached prefix of a program.
	 * @param program the program
	 * @return completes on the thread of the engine
	 */
	public CompletableFuture<Boolean> holds(ProgramId program) {
		CompletableFuture<Boolean> answer = new CompletableFuture<>();
		this.timers.schedule(0, () -> answer.complete(this.model.exportPrefix(program) != null));
		return answer;
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

}
