package dev.nutmegdoor.standin.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Faulty replica that writes some of its answers once more on a kept connection. What it
 * does with a request depends only on the seed, the attempt and the number of its send.
 */
final class RepeatingReplica implements AutoCloseable {

	private static final int BACKLOG = 200;

	private static final int MAX_DELAY_MS = 200;

	private static final int SHORT_DELAY_MS = 10;

	private static final long SPLIT_PAUSE_MS = 3;

	private static final long EVENT_PAUSE_MS = 2;

	final String id;

	private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

	private final AttemptRecorder recorder;

	private final RepetitionPlan plan;

	private final ScheduledExecutorService timer;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger connections = new AtomicInteger();

	RepeatingReplica(String id, AttemptRecorder recorder, RepetitionPlan plan, ScheduledExecutorService timer)
			throws IOException {
		this.id = id;
		this.recorder = recorder;
		this.plan = plan;
		this.timer = timer;
		start("repeating-replica", this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	private static void start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				start("repeating-connection", new ReplicaConnection(socket, this.connections.incrementAndGet())::serve);
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private static void pause(long ms) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	/** A connection, which serves one request at a time. */
	private final class ReplicaConnection {

		private final Socket socket;

		private final int number;

		/** Written when the next request has been read, before it is answered. */
		private Runnable pendingRepetition;

		private boolean isBusy;

		private ReplicaConnection(Socket socket, int number) {
			this.socket = socket;
			this.number = number;
		}

		private void serve() {
			try (this.socket) {
				BufferedInputStream input = new BufferedInputStream(this.socket.getInputStream());
				for (HttpText head = HttpText.readHead(input); head != null; head = HttpText.readHead(input)) {
					if (!answer(head, input)) {
						return;
					}
				}
			}
			catch (IOException ex) {
				// The gateway closed the connection.
			}
			finally {
				RepeatingReplica.this.sockets.remove(this.socket);
			}
		}

		private boolean answer(HttpText head, BufferedInputStream input) throws IOException {
			setBusy(true);
			RecordedAttempt attempt = RepeatingReplica.this.recorder.received(head);
			int send = attempt.sent(RepeatingReplica.this.id, this.number);
			try {
				UniformRandomProvider random = RepeatingReplica.this.plan.random(attempt.id, send);
				boolean isEarly = head.contentLength() > 0 && random.nextInt(2) == 0;
				if (!isEarly) {
					readBody(head, input);
				}
				Runnable repetition = takePending();
				if (repetition != null) {
					repetition.run();
				}
				boolean isKept = answer(head, attempt, send, random);
				if (isEarly) {
					readBody(head, input);
				}
				return isKept;
			}
			finally {
				setBusy(false);
				RepeatingReplica.this.recorder.ended();
			}
		}

		private void readBody(HttpText head, BufferedInputStream input) throws IOException {
			String body = new String(input.readNBytes(head.contentLength()), StandardCharsets.US_ASCII);
			if (body.length() == head.contentLength()) {
				RepeatingReplica.this.recorder.bodyReceived(head, body);
			}
		}

		private synchronized void setBusy(boolean isBusy) {
			this.isBusy = isBusy;
		}

		private synchronized Runnable takePending() {
			Runnable repetition = this.pendingRepetition;
			this.pendingRepetition = null;
			return repetition;
		}

		private boolean answer(HttpText head, RecordedAttempt attempt, int send, UniformRandomProvider random)
				throws IOException {
			String attemptId = head.fields.get("Attempt-Id");
			ReplicaAnswer answer = (attemptId != null) ? RepeatingReplica.this.plan.answer(attempt.id,
					RepeatingReplica.this.id, send, head.firstEvent(), random) : RepetitionPlan.withoutId(attempt.id);
			if (answer.seal() != null) {
				attempt.ran(answer.seal());
			}
			pause(answer.workMs());
			boolean isHead = head.firstLine.startsWith("HEAD ");
			boolean isChunked = !isHead && (answer.isStream() || random.nextInt(2) == 0);
			String answerHead = answer.head(attemptId, isChunked);
			attempt.answered(RepeatingReplica.this.id, this.number, send, answer.status(), answer.seal(),
					isHead ? "" : answer.body());
			String body = isHead ? "" : isChunked ? answer.chunks() + "0\r\n\r\n" : answer.body();
			boolean isRepeated = RepeatingReplica.this.plan.isRepeated(answer, random);
			RepetitionForm form = RepeatingReplica.this.plan.form();
			String repetition = form.of(answerHead, body);
			boolean isWithAnswer = isRepeated && RepeatingReplica.this.plan.time() == RepetitionTime.WITH_ANSWER;
			if (!writeAnswer(answer, answerHead, body, isWithAnswer ? repetition : "")) {
				return false;
			}
			if (isWithAnswer) {
				recordRepetition(attempt, answer);
			}
			else if (isRepeated) {
				repeat(attempt, answer, repetition, random);
			}
			return true;
		}

		private synchronized boolean writeAnswer(ReplicaAnswer answer, String head, String body, String after)
				throws IOException {
			OutputStream output = this.socket.getOutputStream();
			if (!answer.isStream()) {
				ReplicaServer.write(output, head + body + after);
				return true;
			}
			ReplicaServer.write(output, head);
			for (int i = 0; i < answer.parts().size(); i++) {
				if (i == answer.breakAfter()) {
					return false;
				}
				ReplicaServer.write(output, chunk(answer.parts().get(i)));
				pause(EVENT_PAUSE_MS);
			}
			ReplicaServer.write(output, "0\r\n\r\n" + after);
			return true;
		}

		private void repeat(RecordedAttempt attempt, ReplicaAnswer answer, String text, UniformRandomProvider random) {
			RepetitionTime time = RepeatingReplica.this.plan.time();
			int cut = (RepeatingReplica.this.plan.form() == RepetitionForm.SPLIT)
					? 1 + random.nextInt(text.length() - 1) : text.length();
			int delayMs = random
				.nextInt((time == RepetitionTime.WHILE_IDLE || random.nextBoolean()) ? SHORT_DELAY_MS : MAX_DELAY_MS);
			boolean isPending = time == RepetitionTime.AFTER_NEXT_REQUEST
					|| (time == RepetitionTime.ANY && random.nextInt(3) == 0);
			Runnable repetition = () -> write(attempt, answer, text, cut);
			if (isPending) {
				synchronized (this) {
					this.pendingRepetition = repetition;
				}
			}
			else {
				RepeatingReplica.this.timer.schedule(repetition, delayMs, TimeUnit.MILLISECONDS);
			}
		}

		private synchronized void write(RecordedAttempt attempt, ReplicaAnswer answer, String text, int cut) {
			if (this.isBusy && RepeatingReplica.this.plan.time() == RepetitionTime.WHILE_IDLE) {
				return;
			}
			try {
				ReplicaServer.write(this.socket.getOutputStream(), text.substring(0, cut));
				if (cut < text.length()) {
					pause(SPLIT_PAUSE_MS);
					ReplicaServer.write(this.socket.getOutputStream(), text.substring(cut));
				}
				recordRepetition(attempt, answer);
			}
			catch (IOException ex) {
				// The gateway closed the connection.
			}
		}

		private void recordRepetition(RecordedAttempt attempt, ReplicaAnswer answer) {
			RepeatingReplica.this.recorder.repeated();
			attempt.record("answer " + answer.status() + " repeated by " + RepeatingReplica.this.id + " on connection "
					+ this.number);
		}

	}

}
