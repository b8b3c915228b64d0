package dev.nutmegdoor.node.operator;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

import dev.nutmegdoor.node.control.ControlThread;

/**
 * HTTP server of the operator API. Handlers run on the control thread; every change is
 * logged with the operator's name.
 */
public final class OperatorServer implements AutoCloseable {

	/** Largest body; the sheet of 21,000 workspaces takes about 3 MB. */
	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final Logger logger = Logger.getLogger(OperatorServer.class);

	private final OperatorAuthenticator authenticator;

	private final ControlThread control;

	private final ObjectMapper mapper;

	private final List<OperatorEndpoint> endpoints;

	private @Nullable DisposableServer server;

	public OperatorServer(OperatorAuthenticator authenticator, ControlThread control, ObjectMapper mapper,
			List<OperatorEndpoint> endpoints) {
		this.authenticator = authenticator;
		this.control = control;
		this.mapper = mapper;
		this.endpoints = List.copyOf(endpoints);
	}

	/**
	 * Starts to listen.
	 * @param host IP number
	 * @param port TCP port, 0 for any
	 * @return the port that is bound
	 */
	public int start(String host, int port) {
		DisposableServer bound = HttpServer.create().host(host).port(port).route(this::addRoutes).bindNow();
		this.server = bound;
		return bound.port();
	}

	@Override
	public void close() {
		DisposableServer bound = this.server;
		if (bound != null) {
			bound.disposeNow();
		}
	}

	private void addRoutes(HttpServerRoutes routes) {
		for (OperatorEndpoint endpoint : this.endpoints) {
			if (endpoint.method().equals("GET")) {
				routes.get(endpoint.path(), (request, response) -> handle(endpoint, request, response));
			}
			else {
				routes.post(endpoint.path(), (request, response) -> handle(endpoint, request, response));
			}
		}
	}

	private Publisher<Void> handle(OperatorEndpoint endpoint, HttpServerRequest request, HttpServerResponse response) {
		OperatorAccount operator = this.authenticator.authenticate(request.requestHeaders().get("Authorization"));
		if (operator == null) {
			return problem(response, 401, "unauthenticated", "an operator's token is required");
		}
		if (!operator.role().permits(endpoint.role())) {
			return problem(response, 403, "forbidden", "the role of operator " + operator.name() + " only reads");
		}
		return readBody(request).flatMap((body) -> {
			OperatorRequest operatorRequest = new OperatorRequest(operator.name(), pathParameters(request),
					new QueryStringDecoder(request.uri()).parameters(), body);
			return Mono.fromFuture(() -> run(endpoint, operatorRequest));
		}).flatMap((result) -> write(response, 200, result)).onErrorResume((error) -> fail(endpoint, response, error));
	}

	private Mono<String> readBody(HttpServerRequest request) {
		int[] size = new int[1];
		return request.receive().aggregate().asByteArray().handle((bytes, sink) -> {
			size[0] = bytes.length;
			if (size[0] > MAX_BODY_BYTES) {
				sink.error(new OperatorException(413, "request-too-large", "the body is larger than 16 MiB"));
			}
			else {
				sink.next(bytes);
			}
		}).map((bytes) -> new String((byte[]) bytes, StandardCharsets.UTF_8)).defaultIfEmpty("");
	}

	private static Map<String, String> pathParameters(HttpServerRequest request) {
		Map<String, String> decoded = new HashMap<>();
		Map<String, String> parameters = request.params();
		if (parameters != null) {
			parameters.forEach((name, value) -> decoded.put(name, QueryStringDecoder.decodeComponent(value)));
		}
		return decoded;
	}

	private CompletableFuture<Object> run(OperatorEndpoint endpoint, OperatorRequest request) {
		return this.control.call(() -> {
			if (endpoint.role() == OperatorRole.CHANGE) {
				logger.infof("event=operator.change operator=%s path=%s parameters=%s", request.operator(),
						endpoint.path(), request.pathParameters());
			}
			return endpoint.handler().apply(request);
		}).thenCompose((future) -> future).thenApply((result) -> (result != null) ? result : Map.of());
	}

	private Mono<Void> write(HttpServerResponse response, int status, Object result) {
		boolean isText = result instanceof String;
		response.status(status).header("Content-Type", isText ? "text/plain; charset=utf-8" : "application/json");
		return response.sendString(Mono.just(isText ? (String) result : encode(result))).then();
	}

	private Mono<Void> fail(OperatorEndpoint endpoint, HttpServerResponse response, Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		if (cause instanceof OperatorException ex) {
			return problem(response, ex.status(), ex.type(), String.valueOf(ex.getMessage()));
		}
		if (cause instanceof IllegalArgumentException) {
			return problem(response, 400, "malformed-request", String.valueOf(cause.getMessage()));
		}
		logger.warnf(cause, "event=operator.failed path=%s error=\"%s\"", endpoint.path(), cause.getMessage());
		return problem(response, 500, "internal", String.valueOf(cause.getMessage()));
	}

	private Mono<Void> problem(HttpServerResponse response, int status, String type, String detail) {
		Map<String, Object> problem = new LinkedHashMap<>();
		problem.put("type", "urn:nutmegdoor:problem:" + type);
		problem.put("status", status);
		problem.put("detail", detail);
		response.status(status).header("Content-Type", "application/problem+json");
		return response.sendString(Mono.just(encode(problem))).then();
	}

	private String encode(Object value) {
		try {
			return this.mapper.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to encode an answer of type " + value.getClass().getName(), ex);
		}
	}

}
