package dev.nutmegdoor.standin.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Kept connection of a client that sends streams and tells how their answers ended.
 */
final class StreamConnection implements AutoCloseable {

	static final String WHOLE = "200 whole";

	static final String CUT = "200 cut";

	static final String CLOSED = "closed";

	private final Socket socket;

	private final BufferedInputStream input;

	private boolean isOpen = true;

	StreamConnection(String host, int port) throws IOException {
		this.socket = new Socket(host, port);
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout((int) GatewayEnvironment.LIMIT_MS);
		this.input = new BufferedInputStream(this.socket.getInputStream());
	}

	boolean isOpen() {
		return this.isOpen;
	}

	void send(String attempt, String prefix, long deadlineMs) {
		try {
			ReplicaServer.write(this.socket.getOutputStream(),
					"POST /turn/a HTTP/1.1\r\nHost: h.example\r\n" + GatewayEnvironment.KEY + "Attempt-Id: " + attempt
							+ "\r\nModel: m\r\nToken-Usage: 1460,48\r\nPrompt-Prefix: " + prefix + "\r\nDeadline-Ms: "
							+ deadlineMs + "\r\nContent-Length: 0\r\n\r\n");
		}
		catch (IOException ex) {
			// The next read finds the end of the connection.
		}
	}

	/**
	 * Receives the next answer.
	 * @param attempt attempt that the answer must name if it is a stream
	 * @param body body of a whole stream
	 * @return how the answer ended, or its status if it is no stream
	 */
	String receive(String attempt, String body) {
		String outcome = CLOSED;
		try {
			HttpText head = HttpText.readHead(this.input);
			if (head == null) {
				this.isOpen = false;
				return outcome;
			}
			outcome = (head.status() == 200) ? CUT : Integer.toString(head.status());
			String received = head.readBody(this.input);
			this.isOpen = received != null && !"close".equalsIgnoreCase(head.fields.get("Connection"));
			if (head.status() == 200 && body.equals(received)) {
				return attempt.equals(head.fields.get("Attempt-Id")) ? WHOLE : "200 of another request";
			}
			return outcome;
		}
		catch (IOException ex) {
			this.isOpen = false;
			return outcome;
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/** Returns the body of a whole stream. */
	static String events(int count) {
		StringBuilder events = new StringBuilder();
		for (int i = 1; i <= count; i++) {
			events.append(event(i));
		}
		return events.toString();
	}

	static String event(int number) {
		return "id: " + number + "\ndata: a\n\n";
	}

	static byte[] chunk(String text) {
		return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII);
	}

}
