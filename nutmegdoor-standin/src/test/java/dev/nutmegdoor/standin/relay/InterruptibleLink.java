package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * Link to a server on loopback that a test cuts.
 */
final class InterruptibleLink implements AutoCloseable {

	private static final int FILL_TIMEOUT_MS = 100;

	private static final long POLL_INTERVAL_NS = 1_000_000;

	private final int targetPort;

	private final ServerSocket server;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final List<Socket> backlog = new ArrayList<>();

	private volatile boolean isAccepting = true;

	private volatile boolean isAcceptorPaused;

	private volatile boolean isForwarding = true;

	private volatile boolean isClosed;

	InterruptibleLink(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout(1);
		start(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "link");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.isClosed) {
			if (!this.isAccepting) {
				this.isAcceptorPaused = true;
				LockSupport.parkNanos(POLL_INTERVAL_NS);
				continue;
			}
			try {
				Socket from = this.server.accept();
				Socket to = new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
				from.setTcpNoDelay(true);
				to.setTcpNoDelay(true);
				this.sockets.add(from);
				this.sockets.add(to);
				start(() -> forward(from, to));
				start(() -> forward(to, from));
			}
			catch (SocketTimeoutException ex) {
				continue;
			}
			catch (IOException ex) {
				continue;
			}
		}
	}

	private void forward(Socket from, Socket to) {
		byte[] buffer = new byte[8_192];
		try (from; to) {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
				awaitForwarding();
				output.write(buffer, 0, count);
				output.flush();
			}
			awaitForwarding();
		}
		catch (IOException ex) {
			// Ends the other direction too.
		}
	}

	private void awaitForwarding() {
		while (!this.isForwarding && !this.isClosed) {
			LockSupport.parkNanos(POLL_INTERVAL_NS);
		}
	}

	/**
	 * Cuts the link: packets that open a connection are dropped, connections that are
	 * open hang.
	 */
	void cut() throws IOException {
		this.isAccepting = false;
		this.isForwarding = false;
		// A connection that is accepted after the backlog is full makes room for another.
		while (!this.isAcceptorPaused) {
			LockSupport.parkNanos(POLL_INTERVAL_NS);
		}
		InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port());
		for (boolean isFull = false; !isFull;) {
			Socket socket = new Socket();
			this.backlog.add(socket);
			try {
				socket.connect(address, FILL_TIMEOUT_MS);
			}
			catch (SocketTimeoutException ex) {
				isFull = true;
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.isClosed = true;
		this.server.close();
		for (Socket socket : this.backlog) {
			socket.close();
		}
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
