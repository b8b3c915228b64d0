package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.TreeMap;

/**
 * A response as a client receives it, which accepts only what HTTP/1.1 allows.
 */
final class ReceivedResponse {

	final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

	final StringBuilder body = new StringBuilder();

	int status;

	/** Whether the response ended as its head states. */
	boolean isComplete;

	private String version = "";

	private boolean isEndedByClose;

	private final InputStream input;

	private ReceivedResponse(InputStream input) {
		this.input = input;
	}

	/**
	 * Reads a response.
	 * @return the response, or {@code null} if the connection ended before its head did
	 */
	static ReceivedResponse read(InputStream input, String method) throws IOException {
		ReceivedResponse response = new ReceivedResponse(input);
		try {
			if (!response.readHead()) {
				return null;
			}
			response.readBody(method);
		}
		catch (SocketException ex) {
			return (response.status == 0) ? null : response;
		}
		catch (SocketTimeoutException ex) {
			throw new AssertionError("no end of the response, received so far: " + response, ex);
		}
		return response;
	}

	/** Returns whether the client may send another request on the connection. */
	boolean isKeptAlive() {
		String connection = this.fields.getOrDefault("Connection",
				this.version.equals("HTTP/1.1") ? "keep-alive" : "close");
		return this.isComplete && !this.isEndedByClose && connection.equalsIgnoreCase("keep-alive");
	}

	private boolean readHead() throws IOException {
		String line = readLine();
		if (line == null) {
			return false;
		}
		require(line.matches("HTTP/1\\.[01] [2-5]\\d\\d( .*)?"), "no status line: " + line);
		this.version = line.substring(0, 8);
		int received = Integer.parseInt(line.substring(9, 12));
		for (String field = readLine(); field != null; field = readLine()) {
			if (field.isEmpty()) {
				require(!this.fields.containsKey("Transfer-Encoding") || !this.fields.containsKey("Content-Length"),
						"two lengths: " + this.fields);
				this.status = received;
				return true;
			}
			require(field.matches("[A-Za-z0-9-]+:[^\r\n]*"), "no field: " + field);
			int colon = field.indexOf(':');
			String earlier = this.fields.put(field.substring(0, colon), field.substring(colon + 1).strip());
			require(earlier == null, "a field occurs twice: " + field);
		}
		return false;
	}

	private void readBody(String method) throws IOException {
		if (method.equals("HEAD") || this.status == 204 || this.status == 304) {
			this.isComplete = true;
		}
		else if ("chunked".equalsIgnoreCase(this.fields.get("Transfer-Encoding"))) {
			readChunks();
		}
		else if (this.fields.containsKey("Content-Length")) {
			this.isComplete = readBytes(Integer.parseInt(this.fields.get("Content-Length")));
		}
		else {
			this.isEndedByClose = true;
			this.isComplete = !readBytes(Integer.MAX_VALUE);
		}
	}

	private void readChunks() throws IOException {
		for (String size = readLine(); size != null; size = readLine()) {
			require(size.matches("[0-9a-fA-F]{1,7}"), "no size of a chunk: " + size);
			int length = Integer.parseInt(size, 16);
			if (!readBytes(length)) {
				return;
			}
			String end = readLine();
			if (end == null) {
				return;
			}
			require(end.isEmpty(), "no end of a chunk: " + end);
			if (length == 0) {
				this.isComplete = true;
				return;
			}
		}
	}

	private boolean readBytes(int length) throws IOException {
		for (int i = 0; i < length; i++) {
			int next = this.input.read();
			if (next < 0) {
				return false;
			}
			this.body.append((char) next);
		}
		return true;
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = this.input.read(); next >= 0; next = this.input.read()) {
			if (next == '\n') {
				require(line.length() > 0 && line.charAt(line.length() - 1) == '\r', "no end of a line: " + line);
				return line.substring(0, line.length() - 1);
			}
			line.append((char) next);
		}
		return null;
	}

	private static void require(boolean isMet, String message) {
		if (!isMet) {
			throw new AssertionError(message);
		}
	}

	@Override
	public String toString() {
		return this.version + " " + this.status + " " + this.fields + " <" + this.body + "> "
				+ (this.isComplete ? "complete" : "cut");
	}

}
