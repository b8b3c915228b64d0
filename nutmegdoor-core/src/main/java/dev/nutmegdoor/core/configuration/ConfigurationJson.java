package dev.nutmegdoor.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Serializes, parses and hashes configuration texts.
 */
final class ConfigurationJson {

	/**
	 * Length of a hash: 128 bits of SHA-256, so that the probability of a collision among
	 * all shards ever written is negligible.
	 */
	private static final int HASH_BYTES = 16;

	/** Sorts map entries by key, so that equal values are written as equal texts. */
	private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private ConfigurationJson() {
	}

	static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("text is not JSON: " + ex.getOriginalMessage(), ex);
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

	static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("value cannot be written as JSON", ex);
		}
	}

	static String hash(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest, 0, HASH_BYTES);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this JDK lacks SHA-256", ex);
		}
	}

}
