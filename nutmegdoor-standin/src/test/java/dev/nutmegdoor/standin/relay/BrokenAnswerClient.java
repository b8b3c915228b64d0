package dev.nutmegdoor.standin.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Client that sends requests one after another, on one connection as long as the response
 * allows it.
 */
final class BrokenAnswerClient implements AutoCloseable {

	private final String host;

	private final int port;

	private final String version;

	private final boolean isKeepAlive;

	private final BrokenAnswerScripts scripts;

	/** Attempt that began the streams that this client takes up. */
	private final String origin;

	private Socket socket;

	private InputStream input;

	BrokenAnswerClient(String host, int port, String version, boolean isKeepAlive, BrokenAnswerScripts scripts,
			String origin) {
		this.host = host;
		this.port = port;
		this.version = version;
		this.isKeepAlive = isKeepAlive;
		this.scripts = scripts;
		this.origin = origin;
	}

	/**
	 * Sends a request and checks the response.
	 * @return the response, or {@code null} if the connection ended before its head did
	 */
	ReceivedResponse exchange(String method, String path, String attempt, int firstEvent, boolean isInterrupted)
			throws IOException {
		send(method, path, attempt, firstEvent);
		return receive(method, path, attempt, firstEvent, isInterrupted);
	}

	void send(String method, String path, String attempt, int firstEvent) throws IOException {
		if (this.socket == null) {
			this.socket = new Socket(this.host, this.port);
			this.socket.setSoTimeout((int) GatewayEnvironment.LIMIT_MS);
			this.input = new BufferedInputStream(this.socket.getInputStream());
		}
		String text = method + " " + path + " HTTP/" + this.version + "\r\nHost: h.example\r\nAttempt-Id: " + attempt
				+ "\r\n"
				+ ((firstEvent > 1) ? "Last-Event-Id: " + (firstEvent - 1) + "\r\nResumes: " + this.origin + "\r\n"
						: "")
				+ "Connection: " + (this.isKeepAlive ? "keep-alive" : "close") + "\r\n" + GatewayEnvironment.KEY
				+ "\r\n";
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	ReceivedResponse receive(String method, String path, String attempt, int firstEvent, boolean isInterrupted)
			throws IOException {
		ReceivedResponse response;
		try {
			response = ReceivedResponse.read(this.input, method);
		}
		catch (AssertionError ex) {
			throw new AssertionError(method + " HTTP/" + this.version + " " + this.scripts.describe(attempt), ex);
		}
		this.scripts.check(attempt, response, path, method, firstEvent, isInterrupted);
		if (response == null || !response.isKeptAlive()) {
			if (response != null && response.isComplete) {
				requireEnd(attempt, response);
			}
			close();
		}
		return response;
	}

	// A connection that is reset may take the end of the response with it.
	private void requireEnd(String attempt, ReceivedResponse response) {
		try {
			if (this.input.read() >= 0) {
				throw new AssertionError("bytes after the response " + response);
			}
		}
		catch (IOException ex) {
			throw new AssertionError("no orderly end after " + response + " to " + this.scripts.describe(attempt), ex);
		}
	}

	@Override
	public void close() throws IOException {
		if (this.socket != null) {
			this.socket.close();
			this.socket = null;
		}
	}

}
