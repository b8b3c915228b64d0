package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Head of a request or response, read byte by byte so that nothing after it is consumed.
 */
final class HttpText {

	final String firstLine;

	final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

	private HttpText(String firstLine) {
		this.firstLine = firstLine;
	}

	/**
	 * Reads a head.
	 * @return the head, or {@code null} if the stream ended before it
	 */
	static HttpText readHead(InputStream input) throws IOException {
		String line = readLine(input);
		if (line == null) {
			return null;
		}
		HttpText head = new HttpText(line);
		for (String field = readLine(input); field != null; field = readLine(input)) {
			if (field.isEmpty()) {
				return head;
			}
			int colon = field.indexOf(':');
			if (colon <= 0) {
				throw new MalformedTextException("no field: <" + field + "> after <" + line + ">");
			}
			head.fields.put(field.substring(0, colon), field.substring(colon + 1).strip());
		}
		return null;
	}

	private static String readLine(InputStream input) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = input.read(); next >= 0; next = input.read()) {
			if (next == '\n') {
				return line.substring(0, Math.max(0, line.length() - 1));
			}
			line.append((char) next);
		}
		return null;
	}

	/**
	 * Reads the body that follows this head.
	 * @return the body, or {@code null} if it ended early
	 */
	String readBody(InputStream input) throws IOException {
		if (!"chunked".equalsIgnoreCase(this.fields.get("Transfer-Encoding"))) {
			byte[] body = input.readNBytes(contentLength());
			return (body.length == contentLength()) ? new String(body, StandardCharsets.US_ASCII) : null;
		}
		StringBuilder body = new StringBuilder();
		for (String size = readLine(input); size != null; size = readLine(input)) {
			int length = Integer.parseInt(size, 16);
			byte[] chunk = input.readNBytes(length);
			if (chunk.length < length || readLine(input) == null) {
				return null;
			}
			if (length == 0) {
				return body.toString();
			}
			body.append(new String(chunk, StandardCharsets.US_ASCII));
		}
		return null;
	}

	int contentLength() {
		return Integer.parseInt(this.fields.getOrDefault("Content-Length", "0"));
	}

	int status() throws IOException {
		if (!this.firstLine.matches("HTTP/1\\.1 \\d{3}( .*)?")) {
			throw new MalformedTextException("no status line: <" + this.firstLine + ">");
		}
		return Integer.parseInt(this.firstLine.substring(9, 12));
	}

	/** Returns the last part of the path of a request. */
	String lastPathPart() {
		String path = this.firstLine.substring(0, Math.max(0, this.firstLine.lastIndexOf(' ')));
		return path.substring(path.lastIndexOf('/') + 1);
	}

	/** Returns the number of the first event that is asked for, 0 if it is no stream. */
	int firstEvent() {
		return this.firstLine.contains(" /turn") ? Integer.parseInt(this.fields.getOrDefault("Last-Event-Id", "0")) + 1
				: 0;
	}

	static final class MalformedTextException extends IOException {

		private static final long serialVersionUID = 1L;

		private MalformedTextException(String message) {
			super(message);
		}

	}

}
