package dev.nutmegdoor.node.entry;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ServiceOperation;

/**
 * Runs operations of services other than model engines: {@code POST
 * /v1/services/{service}/{operation}}.
 */
final class ServiceRoute implements Route {

	private static final Pattern PATH = Pattern.compile("/v1/services/([^/]{1,128})/([^/]{1,128})");

	private final BodyReader bodyReader;

	private final CallHeaders headers;

	private final CallExchange calls;

	private final HttpResponses responses;

	private final ConfigurationView configuration;

	ServiceRoute(BodyReader bodyReader, CallHeaders headers, CallExchange calls, HttpResponses responses,
			ConfigurationView configuration) {
		this.bodyReader = bodyReader;
		this.headers = headers;
		this.calls = calls;
		this.responses = responses;
		this.configuration = configuration;
	}

	@Override
	public boolean matches(String method, String path) {
		return method.equals("POST") && PATH.matcher(path).matches();
	}

	@Override
	public Mono<Void> run(Exchange exchange) {
		Matcher matcher = PATH.matcher(exchange.path());
		ServiceOperation operation = matcher.matches()
				? this.configuration.current().operations().get(matcher.group(1) + "/" + matcher.group(2)) : null;
		if (operation == null) {
			return Mono.error(new RefusalException(
					Refusal.notRun(RefusalReason.NOT_FOUND, "the service has no such operation", 0)));
		}
		String idempotencyKey = CallHeaders.idempotencyKey(exchange);
		if (idempotencyKey == null && !operation.repeatability().isRetryable()) {
			return Mono.error(RefusalException
				.malformed("operation " + operation.qualifiedName() + " needs the header Idempotency-Key"));
		}
		return this.bodyReader.read(exchange).flatMap((body) -> {
			ServiceCall call = new ServiceCall(operation.service(), operation.operation(), body.toString(),
					idempotencyKey);
			CallRequest request = this.headers.request(exchange, call);
			return this.calls.run(exchange, request).last().flatMap((last) -> respond(exchange, last));
		});
	}

	private Mono<Void> respond(Exchange exchange, ResponseEvent last) {
		if (last instanceof ResponseEvent.Completed completed) {
			exchange.response().header(HttpResponses.RUN_HEADER, RunState.RAN.wireName());
			return this.responses.json(exchange, completed.result().status(), completed.result().body());
		}
		Refusal refusal = (last instanceof ResponseEvent.Refused refused) ? refused.refusal()
				: new Refusal(RefusalReason.INTERNAL, RunState.UNKNOWN, "the call has no outcome", 0);
		return Mono.error(new RefusalException(refusal));
	}

}
