package dev.nutmegdoor.node.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A frame as version 491f599 wrote it, and what it held.
 *
 * @param name name of the recording
 * @param envelope bytes of the frame
 * @param content kind, type and other fields of the frame; its message as JSON
 */
@SuppressWarnings("ArrayRecordComponent")
record RecordedFrame(String name, byte[] envelope, JsonNode content) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	static List<RecordedFrame> all() {
		return StreamSupport.stream(read("frames.json").spliterator(), false)
			.map((node) -> new RecordedFrame(node.path("name").asText(),
					HexFormat.of().parseHex(node.path("envelopeHex").asText()), node))
			.toList();
	}

	static List<RecordedFrame> messages() {
		return all().stream().filter((frame) -> frame.content.has("message")).toList();
	}

	static RecordedFrame named(String name) {
		return all().stream().filter((frame) -> frame.name.equals(name)).findFirst().orElseThrow();
	}

	static JsonNode read(String resource) {
		String path = "/dev/nutmegdoor/node/version/491f599/" + resource;
		try (InputStream stream = Objects.requireNonNull(RecordedFrame.class.getResourceAsStream(path), path)) {
			return MAPPER.readTree(stream);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public String toString() {
		return this.name;
	}

}
