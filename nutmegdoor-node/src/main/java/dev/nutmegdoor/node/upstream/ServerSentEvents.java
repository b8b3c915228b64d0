package dev.nutmegdoor.node.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into the data of its server-sent events. Characters may be split
 * between reads, so bytes are decoded only line by line.
 */
public final class ServerSentEvents {

	private static final String DATA_FIELD = "data:";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private boolean hasData;

	/**
	 * Takes the next bytes of the stream.
	 * @param bytes the bytes
	 * @return data of the events that the bytes complete
	 */
	public List<String> accept(byte[] bytes) {
		List<String> events = new ArrayList<>();
		for (byte b : bytes) {
			if (b == '\n') {
				endLine(events);
			}
			else if (b != '\r') {
				this.line.write(b);
			}
		}
		return events;
	}

	private void endLine(List<String> events) {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.isEmpty()) {
			if (this.hasData) {
				events.add(this.data.toString());
			}
			this.data.setLength(0);
			this.hasData = false;
		}
		else if (text.startsWith(DATA_FIELD)) {
			if (this.hasData) {
				this.data.append('\n');
			}
			this.data.append(text.startsWith(" ", DATA_FIELD.length()) ? text.substring(DATA_FIELD.length() + 1)
					: text.substring(DATA_FIELD.length()));
			this.hasData = true;
		}
	}

}
