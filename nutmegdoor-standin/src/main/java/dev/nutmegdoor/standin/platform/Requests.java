package dev.nutmegdoor.standin.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads parameters of requests.
 */
final class Requests {

	private Requests() {
	}

	static String path(HttpServerRequest request, String name) {
		String value = request.param(name);
		if (value == null) {
			throw new ApiException(400, "path lacks " + name);
		}
		return URLDecoder.decode(value.replace("+", "%2B"), StandardCharsets.UTF_8);
	}

	static String query(HttpServerRequest request, String name, String defaultValue) {
		List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
		return (values != null) ? values.get(0) : defaultValue;
	}

	static boolean isCreate(HttpServerRequest request) {
		return "*".equals(request.requestHeaders().get(HttpHeaderNames.IF_NONE_MATCH));
	}

	static long expectedVersion(HttpServerRequest request) {
		String value = request.requestHeaders().get(HttpHeaderNames.IF_MATCH);
		if (value == null) {
			throw new ApiException(428, "a change needs If-Match or If-None-Match");
		}
		try {
			return Long.parseLong(value.replace("\"", ""));
		}
		catch (NumberFormatException ex) {
			throw new ApiException(400, "If-Match must be a version but is " + value);
		}
	}

	static <T> T parse(ObjectMapper mapper, String body, Class<T> type) {
		try {
			return mapper.readValue(body, type);
		}
		catch (JsonProcessingException ex) {
			throw new ApiException(400, "body is malformed: " + ex.getOriginalMessage());
		}
	}

}
