import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head and body of an HTTP/1.1 message, read from a connection. */
final class Message {

	final String firstLine;

	final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

	private Message(String firstLine) {
		this.firstLine = firstLine;
	}

	/** Reads a head; returns null if the connection ends before the first byte. */
	static Message readHead(InputStream input) throws IOException {
		String line = line(input, true);
		if (line == null) {
			return null;
		}
		Message message = new Message(line);
		for (line = line(input, false); !line.isEmpty(); line = line(input, false)) {
			int colon = line.indexOf(':');
			if (colon <= 0) {
				throw new IOException("no header field: " + line);
			}
			message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
		}
		return message;
	}

	String header(String name) {
		return this.headers.get(name);
	}

	int status() {
		return Integer.parseInt(this.firstLine.split(" ")[1]);
	}

	boolean isKeepAlive() {
		return !"close".equalsIgnoreCase(this.headers.getOrDefault("Connection", ""));
	}

	/** Reads the body whole; fails if the connection ends before it is complete. */
	byte[] readBody(InputStream input) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (this.headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
			for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
				body.write(exactly(input, size));
				line(input, false);
			}
			while (!line(input, false).isEmpty()) {
				continue;
			}
		}
		else if (this.headers.containsKey("Content-Length")) {
			body.write(exactly(input, Integer.parseInt(this.headers.get("Content-Length"))));
		}
		else if (this.firstLine.startsWith("HTTP/")) {
			// An answer without a length ends with its connection; a reset fails here.
			input.transferTo(body);
		}
		return body.toByteArray();
	}

	private static int chunkSize(InputStream input) throws IOException {
		return Integer.parseInt(line(input, false).split(";")[0].strip(), 16);
	}

	private static byte[] exactly(InputStream input, int size) throws IOException {
		byte[] bytes = input.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("the connection ended inside a body");
		}
		return bytes;
	}

	private static String line(InputStream input, boolean isFirst) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				if (isFirst && line.size() == 0) {
					return null;
				}
				throw new EOFException("the connection ended inside a line");
			}
			line.write(next);
		}
		return line.toString(StandardCharsets.ISO_8859_1).strip();
	}

}
