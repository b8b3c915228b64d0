package dev.nutmegdoor.standin.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Reads requests of the stand-ins and reports them to the observer.
 */
final class StandinRequests {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private StandinRequests() {
	}

	/**
	 * Reads a request.
	 * @param upstream receiver
	 * @param request the request
	 * @param observer learns of the request
	 * @return its JSON body, an empty object if there is none
	 */
	static Mono<JsonNode> read(UpstreamId upstream, HttpServerRequest request, UpstreamObserver observer) {
		return request.receive().aggregate().asString(StandardCharsets.UTF_8).defaultIfEmpty("").map((body) -> {
			observer.received(upstream,
					request.method() + " " + request.uri() + "\n" + request.requestHeaders().entries() + "\n" + body);
			try {
				return body.isBlank() ? MAPPER.createObjectNode() : MAPPER.readTree(body);
			}
			catch (JsonProcessingException ex) {
				throw new IllegalArgumentException("body is not JSON", ex);
			}
		});
	}

	static ByteBuf buffer(String text) {
		return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
	}

}
