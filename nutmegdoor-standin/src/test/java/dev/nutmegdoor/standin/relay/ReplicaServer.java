package dev.nutmegdoor.standin.relay;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Replica whose responses a test defines byte by byte.
 */
final class ReplicaServer implements AutoCloseable {

	final List<Request> requests = new ArrayList<>();

	final BlockingQueue<String> closedAttempts = new LinkedBlockingQueue<>();

	private final ServerSocket server;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile Responder responder = (request, output) -> {
	};

	ReplicaServer() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread acceptor = new Thread(this::accept, "replica");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	int port() {
		return this.server.getLocalPort();
	}

	void respondWith(Responder next) {
		this.responder = next;
	}

	/** Creates a responder that sends a complete response. */
	static Responder fixedResponse(int status, String fields, String body) {
		return (request, output) -> write(output,
				"HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + request.fields.get("attempt-id") + "\r\n" + fields
						+ "Content-Length: " + body.length() + "\r\n\r\n" + body);
	}

	static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.US_ASCII));
		output.flush();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				Thread thread = new Thread(() -> serve(socket), "replica-connection");
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			for (Request request = read(reader); request != null; request = read(reader)) {
				synchronized (this.requests) {
					this.requests.add(request);
				}
				this.responder.respond(request, socket.getOutputStream());
				if (request.isConnectionReset) {
					socket.setSoLinger(true, 0);
					return;
				}
				if (request.isConnectionClosed) {
					return;
				}
				if (request.isCloseAwaited && reader.read() < 0) {
					this.closedAttempts.add(String.valueOf(request.fields.get("attempt-id")));
					return;
				}
			}
		}
		catch (IOException ex) {
			this.closedAttempts.add("reset");
		}
	}

	private static Request read(BufferedReader reader) throws IOException {
		String line = reader.readLine();
		if (line == null) {
			return null;
		}
		Request request = new Request(line);
		for (String field = reader.readLine(); field != null && !field.isEmpty(); field = reader.readLine()) {
			int colon = field.indexOf(':');
			request.fields.put(field.substring(0, colon), field.substring(colon + 1).strip());
		}
		int length = Integer.parseInt(request.fields.getOrDefault("content-length", "0"));
		char[] body = new char[length];
		for (int offset = 0; offset < length;) {
			int count = reader.read(body, offset, length - offset);
			if (count < 0) {
				throw new IllegalStateException("the stream ended within the body of " + line + ", received so far: <"
						+ new String(body, 0, offset) + ">");
			}
			offset += count;
		}
		request.body = new String(body);
		return request;
	}

	/**
	 * Ends like a process that crashes: accepts no connection and closes all that are
	 * open.
	 */
	void crash() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	boolean isCrashed() {
		return this.server.isClosed();
	}

	int requestCount() {
		synchronized (this.requests) {
			return this.requests.size();
		}
	}

	boolean hasRequest(String attempt) {
		synchronized (this.requests) {
			return this.requests.stream().anyMatch((request) -> attempt.equals(request.fields.get("attempt-id")));
		}
	}

	boolean isServing(Request request) {
		synchronized (this.requests) {
			return this.requests.contains(request);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	@FunctionalInterface
	interface Responder {

		void respond(Request request, OutputStream output) throws IOException;

	}

	/** A request as the replica received it. */
	static final class Request {

		final String line;

		final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		String body = "";

		/** Whether the replica closes the connection after the response. */
		boolean isConnectionClosed;

		/** Whether the replica resets the connection after the response. */
		boolean isConnectionReset;

		/** Whether the replica waits for the peer to close the connection. */
		boolean isCloseAwaited;

		private Request(String line) {
			this.line = line;
		}

	}

}
