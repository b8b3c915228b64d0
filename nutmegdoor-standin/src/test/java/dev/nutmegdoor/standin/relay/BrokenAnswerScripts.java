package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Answers of the replicas to each attempt of a client, in the order in which the attempt
 * reaches them, and the check of what the client receives.
 */
final class BrokenAnswerScripts implements ReplicaServer.Responder {

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

	private static final int[] ERRORS = { 500, 500, 503, 503, 429, 421, 404, 0, 99, 600, 999 };

	private final Random random;

	private final Map<String, List<ScriptedReply>> scripts = new HashMap<>();

	private final Map<String, Integer> sends = new HashMap<>();

	final Map<String, Integer> outcomes = new HashMap<>();

	private int seals;

	BrokenAnswerScripts(long seed) {
		this.random = new Random(seed);
	}

	synchronized void put(String attempt, List<ScriptedReply> replies) {
		this.scripts.put(attempt, replies);
	}

	String nextSeal() {
		return "seal-" + this.seals++ + "-";
	}

	ScriptedReply stream(String attempt, int firstEvent, AnswerDelimiter delimiter) {
		String seal = nextSeal();
		StringBuilder body = new StringBuilder();
		for (int i = firstEvent; i <= 4; i++) {
			body.append("id: ").append(i).append("\ndata: ").append(seal).append(i).append("\n\n");
		}
		return ScriptedReply.of(attempt, seal, 200, EVENT_STREAM, delimiter, body.toString());
	}

	ScriptedReply error(String attempt, int status, AnswerDelimiter delimiter) {
		String seal = nextSeal();
		boolean isLikeEvents = this.random.nextBoolean();
		String fields = (isLikeEvents ? EVENT_STREAM : "Content-Type: text/plain\r\n")
				+ ((status != 500 && status != 404 && this.random.nextBoolean()) ? "Not-Executed: 1\r\n" : "");
		String body = isLikeEvents ? "id: 2\ndata: " + seal + "error\n\n" : seal + "error";
		return ScriptedReply.of(attempt, seal, status, fields, delimiter, body);
	}

	ScriptedReply randomCut(ScriptedReply reply) {
		boolean isInHead = this.random.nextBoolean();
		int bytes = this.random.nextInt(isInHead ? reply.headLength() + 1 : reply.text().length());
		return reply.cut(bytes, this.random.nextBoolean());
	}

	/** Creates three answers, some of them errors, some broken off. */
	List<ScriptedReply> randomReplies(String attempt, int firstEvent, boolean isBodiless) {
		List<ScriptedReply> replies = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			AnswerDelimiter delimiter = AnswerDelimiter.values()[this.random.nextInt(3)];
			ScriptedReply reply = this.random.nextBoolean() ? stream(attempt, firstEvent, delimiter)
					: error(attempt, ERRORS[this.random.nextInt(ERRORS.length)], delimiter);
			if (isBodiless) {
				reply = reply.withoutBody();
			}
			replies.add((this.random.nextInt(3) > 0) ? randomCut(reply) : reply);
		}
		return replies;
	}

	@Override
	public void respond(ReplicaServer.Request request, OutputStream output) throws IOException {
		ScriptedReply reply = next(request.fields.get("attempt-id"));
		ReplicaServer.write(output, reply.text().substring(0, reply.cutAt()));
		request.isCloseAwaited = reply.isHeld();
		request.isConnectionReset = reply.isReset();
		request.isConnectionClosed = !reply.isHeld()
				&& (reply.cutAt() < reply.text().length() || reply.delimiter() == AnswerDelimiter.CONNECTION);
	}

	private synchronized ScriptedReply next(String attempt) {
		int index = this.sends.merge(attempt, 1, Integer::sum) - 1;
		List<ScriptedReply> replies = this.scripts.get(attempt);
		return replies.get(Math.min(index, replies.size() - 1));
	}

	/** Checks the response to one attempt; {@code null} is a connection that ended. */
	synchronized void check(String attempt, ReceivedResponse response, String path, String method, int firstEvent,
			boolean isInterrupted) {
		List<ScriptedReply> replies = this.scripts.get(attempt);
		List<ScriptedReply> sent = replies.subList(0, Math.min(replies.size(), this.sends.getOrDefault(attempt, 0)));
		String context = path + " from event " + firstEvent + ", received " + response + ", replicas sent " + sent;
		boolean isStream = path.startsWith("/turn") && !method.equals("HEAD");
		if (response == null) {
			count("closed");
			return;
		}
		count(response.status + (response.isComplete ? " complete" : " cut")
				+ (response.fields.containsKey("Server-Seal") ? " of replica" : ""));
		String seal = response.fields.get("Server-Seal");
		if (seal == null) {
			require(response.status / 100 != 2, "a success without a seal: " + context);
			require(!response.body.toString().contains("seal-"), "bytes of a replica in a refusal: " + context);
			boolean isPromise = response.status == 503 || response.status == 429 || response.status == 408
					|| response.status == 421;
			require(!isPromise || sent.stream().allMatch(ScriptedReply::isKnownNotRun),
					"a promise although the request may have run: " + context);
			return;
		}
		require(attempt.equals(response.fields.get("Attempt-Id")), "the answer to another request: " + context);
		ScriptedReply last = sent.get(sent.size() - 1);
		require(seal.equals(last.seal()), "the seal of an earlier answer: " + context);
		require(last.hasDefinedStatus(), "an answer whose status HTTP does not define: " + context);
		require(response.status == last.status(), "the status of another answer: " + context);
		String body = response.body.toString();
		require(last.body().startsWith(body), "bytes that are not the answer's: " + context);
		require(!response.isComplete || last.mayLookComplete(body, isStream, firstEvent > 1),
				"a broken answer looks complete: " + context);
		require(response.isComplete || last.isCut() || isInterrupted, "a complete answer was broken off: " + context);
	}

	synchronized String describe(String attempt) {
		return attempt + " of " + this.scripts.get(attempt) + ", sent " + this.sends.get(attempt);
	}

	private void count(String outcome) {
		this.outcomes.merge(outcome, 1, Integer::sum);
	}

	private static void require(boolean isMet, String message) {
		if (!isMet) {
			throw new AssertionError(message);
		}
	}

}
