package dev.nutmegdoor.cli.operator;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Calls the operator API and waits for the answer.
 */
final class OperatorClient {

	/** Longer than the longest wait of the API, that of {@code config wait}. */
	private static final Duration TIMEOUT = Duration.ofSeconds(90);

	private final OperatorProfile profile;

	OperatorClient(OperatorProfile profile) {
		this.profile = profile;
	}

	/**
	 * Calls an operation.
	 * @param method HTTP method
	 * @param path path and query below the endpoint
	 * @param body body, empty for none
	 * @return the answer
	 * @throws OperatorUnreachableException if there is no answer
	 */
	OperatorReply call(HttpMethod method, String path, String body) {
		try {
			OperatorReply reply = HttpClient.create()
				.headers((headers) -> headers.set("Authorization", "Bearer " + this.profile.token()))
				.request(method)
				.uri(this.profile.endpoint() + path)
				.send((request, outbound) -> body.isEmpty() ? outbound : outbound.sendString(Mono.just(body)))
				.responseSingle((response, content) -> content.asString(StandardCharsets.UTF_8)
					.defaultIfEmpty("")
					.map((text) -> new OperatorReply(response.status().code(), text)))
				.block(TIMEOUT);
			if (reply == null) {
				throw new OperatorUnreachableException(this.profile.endpoint() + " gave no answer");
			}
			return reply;
		}
		catch (OperatorUnreachableException ex) {
			throw ex;
		}
		catch (RuntimeException ex) {
			Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
			throw new OperatorUnreachableException(
					this.profile.endpoint() + " can't be reached: " + cause.getMessage());
		}
	}

	static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
