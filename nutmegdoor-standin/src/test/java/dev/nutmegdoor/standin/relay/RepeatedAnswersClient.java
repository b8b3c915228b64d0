package dev.nutmegdoor.standin.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Sends one request after the other, mostly on a kept connection, and records the
 * answers.
 */
final class RepeatedAnswersClient implements Runnable {

	private static final int PERCENT = 100;

	private static final long MAX_CLIENTS = 1_000;

	private static final int ANSWER_LIMIT_MS = 8_000;

	private static final int DEADLINE_MS = 400;

	private static final int SHORT_DEADLINE_MS = 150;

	private static final int HEAD_SHARE = 8;

	private static final int MAX_CANCEL_MS = 60;

	private static final int LONG_BODY_BYTES = 150_000;

	private final int port;

	private final String name;

	private final int count;

	private final RequestMix requests;

	private final List<Integer> services;

	private final AttemptRecorder recorder;

	private final UniformRandomProvider random;

	private Socket socket;

	private BufferedInputStream input;

	/** Attempt whose stream was broken off, and which the next one takes up. */
	private String brokenAttempt;

	private int brokenService;

	RepeatedAnswersClient(int port, RepetitionPlan plan, int number, int count, List<Integer> services,
			AttemptRecorder recorder) {
		this.port = port;
		this.name = plan.seed() + "-" + number + "-";
		this.count = count;
		this.requests = plan.requests();
		this.services = services;
		this.recorder = recorder;
		this.random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed() * MAX_CLIENTS + number);
	}

	@Override
	public void run() {
		for (int i = 0; i < this.count; i++) {
			try {
				exchange(this.name + i);
			}
			catch (IOException ex) {
				throw new IllegalStateException("no connection to the gateway", ex);
			}
		}
		close();
	}

	private void exchange(String id) throws IOException {
		int service = this.services.get(this.random.nextInt(this.services.size()));
		String resumed = "";
		int kind = this.random.nextInt(PERCENT);
		String route = (kind < 30) ? "safe" : (kind < 70) ? "once" : (kind < 90) ? "turn" : "turnonce";
		if (this.brokenAttempt != null) {
			route = "turn";
			service = this.brokenService;
			resumed = "Last-Event-Id: 1\r\nResumes: " + this.brokenAttempt + "\r\n";
			this.brokenAttempt = null;
		}
		boolean isHead = !route.startsWith("turn")
				&& this.random.nextInt((this.requests == RequestMix.HEAD) ? 2 : HEAD_SHARE) == 0;
		boolean isIdentified = this.requests != RequestMix.WITHOUT_ID || this.random.nextBoolean();
		String body = isHead ? "" : "body of " + id
				+ "y".repeat((this.random.nextInt(20) == 0) ? LONG_BODY_BYTES : this.random.nextInt(50));
		String path = "/" + route + service + "/" + id;
		boolean isCancelled = this.random.nextInt(20) == 0;
		int deadlineMs = (this.random.nextInt(3) == 0) ? SHORT_DEADLINE_MS : DEADLINE_MS;
		if (this.socket == null || this.random.nextInt(5) == 0) {
			open();
		}
		RecordedAttempt attempt = this.recorder.begin(id, isIdentified, path, body);
		try {
			this.socket.setSoTimeout(isCancelled ? 1 + this.random.nextInt(MAX_CANCEL_MS) : ANSWER_LIMIT_MS);
			String head = (isHead ? "HEAD " : "POST ") + path + " HTTP/1.1\r\nHost: h.example\r\n"
					+ (isIdentified ? "Attempt-Id: " + id + "\r\n" : "") + "Deadline-Ms: " + deadlineMs
					+ "\r\nAuthorization: Bearer key-1\r\nToken-Usage: 100,36\r\n" + resumed
					+ (isHead ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n";
			this.socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
			this.socket.getOutputStream().flush();
			receive(attempt, isHead, route.equals("turn") ? service : 0);
		}
		catch (SocketTimeoutException ex) {
			attempt.record(isCancelled ? "client left" : "client got no answer in time");
			if (!isCancelled) {
				this.recorder.violated("UNANSWERED", attempt, "no answer and no closed connection in time");
			}
			close();
		}
		catch (HttpText.MalformedTextException | NumberFormatException ex) {
			this.recorder.violated("MIXED", attempt, "bytes that are no answer: " + ex.getMessage());
			close();
		}
		catch (IOException ex) {
			attempt.record("client's connection failed: " + ex.getMessage());
			close();
		}
	}

	private void receive(RecordedAttempt attempt, boolean isHead, int resumableService) throws IOException {
		HttpText head = HttpText.readHead(this.input);
		if (head == null) {
			attempt.record("client's connection was closed");
			close();
			return;
		}
		int status = head.status();
		String body = isHead ? "" : head.readBody(this.input);
		if (body == null) {
			attempt.record("client's answer " + status + " was broken off");
			if (resumableService > 0) {
				this.brokenAttempt = attempt.id;
				this.brokenService = resumableService;
			}
			close();
			return;
		}
		this.recorder.answered(attempt, new AttemptRecorder.ClientAnswer(status, head.fields.get("Attempt-Id"),
				head.fields.get("Server-Seal"), body));
		if ("close".equalsIgnoreCase(head.fields.get("Connection"))) {
			close();
		}
	}

	private void open() throws IOException {
		close();
		this.socket = new Socket(GatewayEnvironment.HOST, this.port);
		this.socket.setTcpNoDelay(true);
		this.input = new BufferedInputStream(this.socket.getInputStream());
	}

	private void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// It is not used any more.
		}
		this.socket = null;
	}

}
