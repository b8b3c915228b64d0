package dev.nutmegdoor.node.process;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * HTTP server for readiness checks, metrics and the state dump of a process.
 */
public final class ObservationServer {

	private final InetSocketAddress address;

	private final LoopResources eventLoops;

	private final BooleanSupplier readiness;

	private final Supplier<String> metrics;

	private final Supplier<Mono<String>> dump;

	private @Nullable DisposableServer server;

	/**
	 * Creates a server; {@link #start} binds it.
	 * @param address address to bind
	 * @param eventLoops event loops of the connections, not closed by this server
	 * @param readiness whether the process accepts requests, for {@code GET /readyz}
	 * @param metrics text of the response to {@code GET /metrics}
	 * @param dump text of the response to {@code GET /dump}
	 */
	public ObservationServer(InetSocketAddress address, LoopResources eventLoops, BooleanSupplier readiness,
			Supplier<String> metrics, Supplier<Mono<String>> dump) {
		this.address = address;
		this.eventLoops = eventLoops;
		this.readiness = readiness;
		this.metrics = metrics;
		this.dump = dump;
	}

	public void start() {
		this.server = HttpServer.create()
			.bindAddress(() -> this.address)
			.runOn(this.eventLoops, false)
			.handle(this::handle)
			.bindNow();
	}

	public void stop() {
		if (this.server != null) {
			this.server.dispose();
		}
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		return switch (request.fullPath()) {
			case "/readyz" -> {
				boolean isReady = this.readiness.getAsBoolean();
				yield text(response.status(isReady ? 200 : 503), Mono.just(isReady ? "ready" : "not ready"));
			}
			case "/metrics" -> text(response, Mono.just(this.metrics.get()));
			case "/dump" -> text(response, this.dump.get());
			default -> text(response.status(404), Mono.just("not found"));
		};
	}

	private static Mono<Void> text(HttpServerResponse response, Mono<String> text) {
		return response.header("Content-Type", "text/plain; charset=utf-8")
			.sendString(text.map((body) -> body + "\n"))
			.then();
	}

}
