package dev.nutmegdoor.standin.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records all attempts and the answers of their clients, and checks them afterwards.
 */
final class AttemptRecorder {

	private final Map<String, RecordedAttempt> attempts = new ConcurrentHashMap<>();

	private final Map<String, List<ClientAnswer>> answers = new ConcurrentHashMap<>();

	private final Map<String, String> bodies = new ConcurrentHashMap<>();

	private final List<Violation> violations = new ArrayList<>();

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicInteger repetitions = new AtomicInteger();

	/**
	 * Begins an attempt.
	 * @param name last part of the path, which tells apart requests without an identifier
	 * @param isIdentified whether the request has this name as its identifier too
	 * @param path path of the request
	 * @param body body of the request
	 * @return the attempt
	 */
	RecordedAttempt begin(String name, boolean isIdentified, String path, String body) {
		RecordedAttempt attempt = new RecordedAttempt(name, isIdentified, path);
		this.bodies.put(name, body);
		this.attempts.put(name, attempt);
		return attempt;
	}

	RecordedAttempt received(HttpText head) {
		this.inFlight.incrementAndGet();
		String id = head.fields.get("Attempt-Id");
		RecordedAttempt attempt = this.attempts.get(head.lastPathPart());
		if (attempt == null) {
			attempt = new RecordedAttempt(head.lastPathPart(), false, head.firstLine);
		}
		if (!attempt.isIdentifiedBy(id)) {
			violated("UNASKED", attempt, "request " + head.firstLine + " with attempt " + id);
		}
		return attempt;
	}

	void bodyReceived(HttpText head, String body) {
		if (!body.equals(this.bodies.get(head.lastPathPart()))) {
			violated("UNASKED", this.attempts.get(head.lastPathPart()), "other body");
		}
	}

	void repeated() {
		this.repetitions.incrementAndGet();
	}

	int repetitions() {
		return this.repetitions.get();
	}

	void ended() {
		this.inFlight.decrementAndGet();
	}

	boolean isIdle() {
		return this.inFlight.get() == 0;
	}

	void answered(RecordedAttempt attempt, ClientAnswer answer) {
		attempt.record("client got " + answer.status() + " " + answer.seal());
		this.answers.computeIfAbsent(attempt.id, (id) -> new ArrayList<>()).add(answer);
	}

	synchronized void violated(String rule, RecordedAttempt attempt, String detail) {
		this.violations.add(new Violation(rule, attempt, detail));
	}

	/**
	 * Checks all attempts, after they have ended.
	 * @return the attempts that break a rule
	 */
	synchronized List<Violation> check() {
		this.attempts.forEach((id, attempt) -> {
			if (attempt.isUnsafe() && attempt.runCount() > 1) {
				violated("TWICE", attempt, attempt.runCount() + " runs");
			}
			this.answers.getOrDefault(id, List.of()).forEach((answer) -> check(attempt, answer));
		});
		return this.violations;
	}

	private void check(RecordedAttempt attempt, ClientAnswer answer) {
		if (!attempt.isIdentifiedBy(answer.attemptId()) && (answer.isSuccess() || answer.attemptId() != null)) {
			violated("MIXED", attempt, "answer of attempt " + answer.attemptId());
		}
		if (answer.status() == 400 && !attempt.isAnsweredWithoutId(answer.body())) {
			violated("MIXED", attempt, "not its own answer: " + answer);
		}
		if (answer.isSuccess()) {
			if (!attempt.hasAnswer(answer.status(), answer.seal(), answer.body())) {
				violated("MIXED", attempt, "no run has this status, seal and body: " + answer);
			}
			int lastStatus = attempt.lastStatusOnConnectionOf(answer.seal());
			if (lastStatus >= 300) {
				violated("MIXED_LAST", attempt, "the last send on this connection was answered with " + lastStatus);
			}
		}
		else if (answer.seal() != null && !attempt.hasAnswer(answer.status(), answer.seal())) {
			violated("MIXED", attempt, "no run has status " + answer.status() + " and seal " + answer.seal());
		}
		if (answer.statesNotRun() && attempt.isUnsafe() && attempt.runCount() > 0) {
			violated("REFUSED", attempt, "status " + answer.status() + " though it ran");
		}
	}

	/** Returns the number of attempts whose clients got a success. */
	long successes() {
		return this.answers.values().stream().filter((list) -> list.stream().anyMatch(ClientAnswer::isSuccess)).count();
	}

	static Map<String, Integer> count(List<Violation> violations) {
		Map<String, Integer> counts = new TreeMap<>();
		violations.forEach(
				(violation) -> counts.merge(violation.rule() + " " + violation.attempt().service(), 1, Integer::sum));
		return counts;
	}

	/**
	 * A rule that was broken.
	 *
	 * @param rule name of the rule
	 * @param attempt the attempt
	 * @param detail what was wrong
	 */
	record Violation(String rule, RecordedAttempt attempt, String detail) {

		@Override
		public String toString() {
			return this.rule + ": " + this.detail + "\n" + this.attempt;
		}

	}

	/**
	 * A complete answer as its client received it.
	 *
	 * @param status HTTP status
	 * @param attemptId value of its field
	 * @param seal value of its field
	 * @param body the body
	 */
	record ClientAnswer(int status, String attemptId, String seal, String body) {

		boolean isSuccess() {
			return this.status / 100 == 2;
		}

		boolean statesNotRun() {
			return this.status == 503 || this.status == 429 || this.status == 408 || this.status == 421;
		}

	}

}
