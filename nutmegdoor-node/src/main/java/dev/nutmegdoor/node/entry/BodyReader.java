package dev.nutmegdoor.node.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.node.settings.LimitSettings;
import dev.nutmegdoor.node.settings.TimeoutSettings;
import dev.nutmegdoor.node.upstream.KeyScanner;

/**
 * Reads the JSON body of a request within its size and time limits, and rejects a body
 * that contains an API key. The check runs on the parsed body, which is also what is
 * forwarded, so that no JSON escape can hide a key from it.
 */
public final class BodyReader {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
		.build();

	private final LimitSettings limits;

	private final Duration timeout;

	private final KeyScanner keyScanner;

	BodyReader(LimitSettings limits, TimeoutSettings timeouts, KeyScanner keyScanner) {
		this.limits = limits;
		this.timeout = Duration.ofMillis(timeouts.bodyMs());
		this.keyScanner = keyScanner;
	}

	/**
	 * Reads and checks the body.
	 * @param exchange request to read from
	 * @return the JSON object, an empty one if there is no body; fails with
	 * {@link RefusalException} if the body is malformed, too large or too slow
	 */
	Mono<ObjectNode> read(Exchange exchange) {
		return readBytes(exchange, this.limits.maxBodyBytes(), this.timeout).map((body) -> parse(exchange, body));
	}

	/**
	 * Reads the body without parsing it.
	 * @param exchange request to read from
	 * @param maxBytes maximum size of the body in bytes
	 * @param timeout maximum time until the body is complete
	 * @return the bytes, an empty array if there is no body; fails with
	 * {@link RefusalException} if the body is too large or too slow
	 */
	public static Mono<byte[]> readBytes(Exchange exchange, int maxBytes, Duration timeout) {
		return exchange.request()
			.receive()
			.asByteArray()
			.reduceWith(ByteArrayOutputStream::new, (body, bytes) -> append(body, bytes, maxBytes))
			.timeout(timeout)
			.onErrorMap(TimeoutException.class,
					(ex) -> new RefusalException(Refusal.notRun(RefusalReason.REQUEST_TIMEOUT,
							"the body was not complete after " + timeout.toMillis() + " ms", 0)))
			.map(ByteArrayOutputStream::toByteArray);
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] bytes, int maxBytes) {
		if (body.size() + bytes.length > maxBytes) {
			throw new RefusalException(Refusal.notRun(RefusalReason.REQUEST_TOO_LARGE,
					"the body has more than " + maxBytes + " bytes", 0));
		}
		body.writeBytes(bytes);
		return body;
	}

	private ObjectNode parse(Exchange exchange, byte[] bytes) {
		if (bytes.length == 0) {
			return JsonNodeFactory.instance.objectNode();
		}
		try {
			JsonNode node = MAPPER.readTree(bytes);
			if (!(node instanceof ObjectNode object)) {
				throw RefusalException.malformed("the body is not a JSON object");
			}
			if (containsKey(exchange, object)) {
				throw RefusalException.malformed("the body contains a key; a key may occur only in Authorization");
			}
			return object;
		}
		catch (JsonProcessingException ex) {
			throw RefusalException.malformed("the body is not JSON: line " + ex.getLocation().getLineNr() + ", column "
					+ ex.getLocation().getColumnNr());
		}
		catch (IOException ex) {
			throw RefusalException.malformed("the body cannot be read");
		}
	}

	private boolean containsKey(Exchange exchange, JsonNode node) {
		if (node.isTextual()) {
			return hasKeyIn(exchange, node.textValue());
		}
		for (Map.Entry<String, JsonNode> field : node.properties()) {
			if (hasKeyIn(exchange, field.getKey()) || containsKey(exchange, field.getValue())) {
				return true;
			}
		}
		if (node.isArray()) {
			for (JsonNode element : node) {
				if (containsKey(exchange, element)) {
					return true;
				}
			}
		}
		return false;
	}

	private boolean hasKeyIn(Exchange exchange, String text) {
		String presentedKey = exchange.presentedKey();
		return (presentedKey != null && text.contains(presentedKey)) || this.keyScanner.containsKey(text);
	}

}
