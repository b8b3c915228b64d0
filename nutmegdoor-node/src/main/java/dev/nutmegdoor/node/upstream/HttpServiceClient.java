package dev.nutmegdoor.node.upstream;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.netty.handler.codec.http.HttpMethod;

import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.ServiceResponse;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Calls plain services over HTTP. Used from the control thread.
 */
public final class HttpServiceClient implements ServiceClient {

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private final UpstreamHttp http;

	private final OutboundRequestCheck outgoingCheck;

	public HttpServiceClient(UpstreamHttp http, OutboundRequestCheck outgoingCheck) {
		this.http = http;
		this.outgoingCheck = outgoingCheck;
	}

	@Override
	public CompletableFuture<ServiceResponse> call(Upstream upstream, ServiceCall call, long timeoutMs) {
		try {
			this.outgoingCheck.checkNewWork(upstream, path(call), call.body(), headers(call).toString());
		}
		catch (UpstreamException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		return this.http.exchange(upstream, HttpMethod.POST, path(call), headers(call), call.body(), timeoutMs);
	}

	@Override
	public CompletableFuture<ServiceResponse> query(Upstream upstream, ServiceCall call, long timeoutMs) {
		try {
			this.outgoingCheck.checkContent(upstream, path(call), headers(call).toString());
		}
		catch (UpstreamException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		return this.http.exchange(upstream, HttpMethod.GET, path(call) + "/outcome", headers(call), null, timeoutMs);
	}

	private static Map<String, String> headers(ServiceCall call) {
		return (call.idempotencyKey() != null) ? Map.of(IDEMPOTENCY_KEY, call.idempotencyKey()) : Map.of();
	}

	private static String path(ServiceCall call) {
		return "/v1/services/" + call.service() + "/" + call.operation();
	}

}
