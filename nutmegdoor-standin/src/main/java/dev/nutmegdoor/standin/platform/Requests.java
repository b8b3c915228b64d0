package dev.nutmegdoor.standin.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jspecify.annotations.Nullable;
import reactor.netty.http.server.HttpServerRequest;

import dev.nutmegdoor.platform.WireNames;

/**
 * Reads path parameters, query parameters and JSON bodies of requests.
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

	static @Nullable Long expectedRevision(HttpServerRequest request) {
		String value = query(request, WireNames.REVISION, "");
		try {
			return value.isEmpty() ? null : Long.valueOf(value);
		}
		catch (NumberFormatException ex) {
			throw new ApiException(400, WireNames.REVISION + " must be a revision but is " + value);
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
