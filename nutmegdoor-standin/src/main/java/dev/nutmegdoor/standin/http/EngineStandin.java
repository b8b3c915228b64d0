package dev.nutmegdoor.standin.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.core.time.TimerService;

/**
 * A model engine behind HTTP: generation as server-sent events, cancellation, release and
 * import of cached prefixes, loading of models with fencing numbers, load report.
 */
public final class EngineStandin implements AutoCloseable {

	private static final int CONFLICT = 409;

	private final EngineStandinSettings settings;

	private final TimerService timers;

	private final UpstreamObserver observer;

	private final EngineLoop loop;

	private long fencingNumber;

	private final DisposableServer server;

	/**
	 * Starts an engine.
	 * @param settings settings of the engine
	 * @param timers thread of the engine
	 * @param observer learns what the engine sees
	 */
	public EngineStandin(EngineStandinSettings settings, TimerService timers, UpstreamObserver observer) {
		this.settings = settings;
		this.timers = timers;
		this.observer = observer;
		this.loop = new EngineLoop(settings, timers);
		this.server = HttpServer.create()
			.host(settings.listen().host())
			.port(settings.listen().port())
			.route((routes) -> routes.post("/v1/generate", this::generate)
				.post("/v1/cancel", command((body) -> cancel(body)))
				.post("/v1/release", command((body) -> release(body)))
				.post("/v1/import", command((body) -> load(body)))
				.post("/v1/models/load", command((body) -> loadModel(body)))
				.get("/v1/load", (request, response) -> answer(response, this::loadReport)))
			.bindNow();
	}

	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.address();
	}

	private Mono<Void> generate(HttpServerRequest request, HttpServerResponse response) {
		return StandinRequests.read(this.settings.id(), request, this.observer).flatMap((body) -> {
			EngineStream stream = new EngineStream(body);
			this.timers.schedule(0, () -> {
				int cachedTokens = this.loop.add(stream);
				this.observer.streamStarted(this.settings.id(), stream.id(), stream.program(), stream.promptTokens(),
						cachedTokens);
			});
			Flux<String> events = stream.events()
				.doOnCancel(() -> this.timers.schedule(0, () -> this.loop.cancel(stream.id())));
			return response.header("Content-Type", "text/event-stream")
				.sendObject(events.map(StandinRequests::buffer), (buffer) -> true)
				.then();
		});
	}

	private BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> command(
			Function<JsonNode, ObjectNode> action) {
		return (request, response) -> StandinRequests.read(this.settings.id(), request, this.observer)
			.flatMap((body) -> answer(response, () -> action.apply(body)));
	}

	private Mono<Void> answer(HttpServerResponse response, Supplier<ObjectNode> action) {
		CompletableFuture<ObjectNode> result = new CompletableFuture<>();
		this.timers.schedule(0, () -> result.complete(action.get()));
		return Mono.fromFuture(result).flatMap((body) -> {
			response.status(body.path("status").asInt(200)).header("Content-Type", "application/json");
			return response.sendString(Mono.just(body.toString())).then();
		});
	}

	private ObjectNode cancel(JsonNode body) {
		return JsonNodeFactory.instance.objectNode().put("cancelled", this.loop.cancel(body.path("streamId").asText()));
	}

	private ObjectNode release(JsonNode body) {
		this.loop.release(body.path("program").asText());
		return JsonNodeFactory.instance.objectNode().put("released", true);
	}

	private ObjectNode load(JsonNode body) {
		return JsonNodeFactory.instance.objectNode()
			.put("tokens", this.loop.load(body.path("program").asText(), body.path("tokens").asInt(0)));
	}

	private ObjectNode loadModel(JsonNode body) {
		long number = body.path("fencingNumber").asLong();
		if (this.settings.isFencingChecked() && number < this.fencingNumber) {
			return JsonNodeFactory.instance.objectNode().put("status", CONFLICT).put("error", "old fencing number");
		}
		this.fencingNumber = Math.max(this.fencingNumber, number);
		return JsonNodeFactory.instance.objectNode().put("loaded", true);
	}

	private ObjectNode loadReport() {
		ObjectNode report = JsonNodeFactory.instance.objectNode()
			.put("running", this.loop.running())
			.put("waiting", this.loop.waiting())
			.put("cachedTokens", this.loop.cachedTokens());
		report.set("cachedPrograms", JsonNodeFactory.instance.arrayNode()
			.addAll(this.loop.cachedPrograms().stream().map(JsonNodeFactory.instance::textNode).toList()));
		return report;
	}

	/**
	 * Returns the programs of which the engine holds cached prefixes.
	 * @return program ids; completes on the thread of the engine
	 */
	public CompletableFuture<List<String>> cachedPrograms() {
		CompletableFuture<List<String>> programs = new CompletableFuture<>();
		this.timers.schedule(0, () -> programs.complete(this.loop.cachedPrograms()));
		return programs;
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

}
