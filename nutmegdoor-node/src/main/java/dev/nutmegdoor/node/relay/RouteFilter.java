package dev.nutmegdoor.node.relay;

import java.time.Duration;
import java.util.List;

import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.route.ServiceRoute;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RefusalException;
import dev.nutmegdoor.node.entry.RequestFilter;
import dev.nutmegdoor.node.entry.RoutedRequest;
import dev.nutmegdoor.platform.RequestTranslator;

/**
 * Finds the route of a request in the newest configuration.
 */
final class RouteFilter implements RequestFilter {

	/** Time in which a starting instance usually receives the configuration. */
	private static final long STARTUP_RETRY_AFTER_MS = 300;

	/** Maximum time for which a request waits for the configuration. */
	private static final long STARTUP_WAIT_MS = 600;

	/**
	 * Size of the colon and the line end (CR LF) of a header field, without optional
	 * whitespace around the value.
	 */
	private static final int FIELD_SEPARATOR_BYTES = 3;

	private static final Duration STARTUP_POLL_INTERVAL = Duration.ofMillis(20);

	private final Deployment deployment;

	private final RequestTranslator translator;

	RouteFilter(Deployment deployment, RequestTranslator translator) {
		this.deployment = deployment;
		this.translator = translator;
	}

	@Override
	public Mono<Void> filter(Exchange exchange) {
		RouteTable table = this.deployment.routes();
		if (table == null || !this.deployment.isReadyToRoute()) {
			return awaitConfiguration(exchange);
		}
		HttpServerRequest request = exchange.request();
		int headerBytes = request.method().name().length() + exchange.headerBytes(FIELD_SEPARATOR_BYTES);
		if (headerBytes > table.limits().maxHeaderBytes()) {
			return refuse(RefusalReason.HEADER_TOO_LARGE, "the header has " + headerBytes + " bytes, at most "
					+ table.limits().maxHeaderBytes() + " may be sent", 0);
		}
		List<String> hosts = request.requestHeaders().getAll("Host");
		if (hosts.size() != 1) {
			return refuse(RefusalReason.MALFORMED_REQUEST, "a request must have one Host field", 0);
		}
		ServiceRoute route = table.routeOf(hosts.get(0), exchange.path());
		if (route == null) {
			return refuse(RefusalReason.NOT_FOUND,
					"version " + table.version() + " of the configuration has no route for this host and path", 0);
		}
		exchange.routed(new RoutedRequest(table, route, this.translator.decodeRequest(request.requestHeaders())));
		return Mono.empty();
	}

	// The platform sends requests to a starting instance while too few others are ready.
	// The instance receives the configuration within a fraction of a second, which is
	// less than a client takes to retry.
	private Mono<Void> awaitConfiguration(Exchange exchange) {
		if (exchange.elapsedMs() >= STARTUP_WAIT_MS) {
			return refuse(RefusalReason.NOT_STARTED, "the instance does not know the configuration yet",
					STARTUP_RETRY_AFTER_MS);
		}
		return Mono.delay(STARTUP_POLL_INTERVAL).then(Mono.defer(() -> filter(exchange)));
	}

	private static Mono<Void> refuse(RefusalReason reason, String detail, long retryAfterMs) {
		return Mono.error(new RefusalException(Refusal.notRun(reason, detail, retryAfterMs)));
	}

}
