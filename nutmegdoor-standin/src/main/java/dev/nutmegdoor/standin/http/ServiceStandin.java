package dev.nutmegdoor.standin.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A replica of plain services behind HTTP. It does not recognise repetitions: a call that
 * is sent twice takes effect twice.
 */
public final class ServiceStandin implements AutoCloseable {

	private final ServiceStandinSettings settings;

	private final UpstreamObserver observer;

	private final UniformRandomProvider random;

	/** Answers by idempotency key; shared by the replicas of a deployment. */
	private final Map<String, String> outcomes;

	private final DisposableServer server;

	/**
	 * Starts a replica.
	 * @param settings settings of the replica
	 * @param seed seed of its random choices
	 * @param observer learns what the replica sees
	 * @param outcomes answers by idempotency key, shared by the replicas that use the
	 * same data
	 */
	public ServiceStandin(ServiceStandinSettings settings, long seed, UpstreamObserver observer,
			Map<String, String> outcomes) {
		this.settings = settings;
		this.observer = observer;
		this.outcomes = outcomes;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + settings.id().hashCode());
		this.server = HttpServer.create()
			.host(settings.listen().host())
			.port(settings.listen().port())
			.route((routes) -> routes.post("/v1/services/{service}/{operation}", this::run)
				.get("/v1/services/{service}/{operation}/outcome", this::outcome))
			.bindNow();
	}

	/**
	 * Starts a replica with data of its own.
	 * @param settings settings of the replica
	 * @param seed seed of its random choices
	 * @param observer learns what the replica sees
	 */
	public ServiceStandin(ServiceStandinSettings settings, long seed, UpstreamObserver observer) {
		this(settings, seed, observer, new ConcurrentHashMap<>());
	}

	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.address();
	}

	private Mono<Void> run(HttpServerRequest request, HttpServerResponse response) {
		return StandinRequests.read(this.settings.id(), request, this.observer)
			.delayElement(Duration.ofMillis(latencyMs()))
			.flatMap((body) -> run(request, response, body));
	}

	private Mono<Void> run(HttpServerRequest request, HttpServerResponse response, JsonNode body) {
		String service = String.valueOf(request.param("service"));
		String operation = service + "/" + request.param("operation");
		if (!this.settings.services().contains(service)) {
			return answer(response, 404, JsonNodeFactory.instance.objectNode().put("error", "unknown service"));
		}
		if (isDrawn(this.settings.failureFraction())) {
			return answer(response, 500,
					JsonNodeFactory.instance.objectNode().put("error", "failed before any effect"));
		}
		String idempotencyKey = request.requestHeaders().get("Idempotency-Key");
		this.observer.operationRun(this.settings.id(), operation, idempotencyKey);
		ObjectNode result = JsonNodeFactory.instance.objectNode()
			.put("operation", operation)
			.put("replica", this.settings.id().value());
		result.set("request", body);
		if (idempotencyKey != null) {
			this.outcomes.put(idempotencyKey, result.toString());
		}
		if (isDrawn(this.settings.lostAnswerFraction())) {
			return drop(request);
		}
		return answer(response, 200, result);
	}

	private Mono<Void> outcome(HttpServerRequest request, HttpServerResponse response) {
		return StandinRequests.read(this.settings.id(), request, this.observer).flatMap((body) -> {
			@Nullable String stored = this.outcomes.get(String.valueOf(request.requestHeaders().get("Idempotency-Key")));
			int status = (stored != null) ? 200 : 404;
			response.status(status).header("Content-Type", "application/json");
			return response.sendString(Mono.just((stored != null) ? stored : "{}")).then();
		});
	}

	private static Mono<Void> answer(HttpServerResponse response, int status, ObjectNode body) {
		response.status(status).header("Content-Type", "application/json");
		return response.sendString(Mono.just(body.toString())).then();
	}

	private static Mono<Void> drop(HttpServerRequest request) {
		return Mono.fromRunnable(() -> request.withConnection((Connection connection) -> connection.channel().close()));
	}

	private synchronized boolean isDrawn(double fraction) {
		return fraction > 0 && this.random.nextDouble() < fraction;
	}

	private synchronized long latencyMs() {
		// Exponential with a cap, so that a single operation cannot outlast a call.
		double drawn = -Math.log(1 - this.random.nextDouble()) * this.settings.meanLatencyMs();
		return Math.round(Math.min(drawn, 10 * this.settings.meanLatencyMs()));
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

}
