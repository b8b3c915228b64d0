package dev.nutmegdoor.core.program;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads and writes store records and bodies of log entries as JSON. Unknown fields are
 * ignored, so that instances of different versions can work together.
 */
final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	private Json() {
	}

	static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("failed to write JSON of " + value.getClass().getSimpleName(), ex);
		}
	}

	static <T> T read(String text, Class<T> type) {
		try {
			return MAPPER.readValue(text, type);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("text is not a valid " + type.getSimpleName(), ex);
		}
	}

}
