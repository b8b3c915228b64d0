package dev.nutmegdoor.core.program;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;

/**
 * State of a program, derived only from the entries of its log, so that a new owner
 * reconstructs the same state.
 */
final class ProgramState {

	private final ProgramId id;

	private final Map<Integer, Turn> turns = new TreeMap<>();

	private final Map<String, AtMostOnceCall> atMostOnceCalls = new TreeMap<>();

	private final Set<UpstreamId> upstreams = new LinkedHashSet<>();

	private @Nullable OpenedBody opened;

	private @Nullable ClosedBody closed;

	private boolean isReleased;

	private int completedTurns;

	private long tokens;

	private long lastActivityMs;

	ProgramState(ProgramId id) {
		this.id = id;
	}

	void apply(LogEntry entry) {
		switch (entry.type()) {
			case OPENED -> {
				OpenedBody body = Json.read(entry.body(), OpenedBody.class);
				this.opened = body;
				this.lastActivityMs = body.wallClockMs();
			}
			case TURN_RESERVED -> reserve(Json.read(entry.body(), ReservedBody.class));
			case TURN_PLACED -> this.upstreams.add(Json.read(entry.body(), PlacedBody.class).upstream());
			case TURN_COMPLETED -> complete(Json.read(entry.body(), CompletedBody.class));
			case CALL_INTENDED -> recordIntent(Json.read(entry.body(), IntendedBody.class));
			case CALL_SETTLED -> settle(Json.read(entry.body(), SettledBody.class));
			case CLOSED -> {
				this.closed = Json.read(entry.body(), ClosedBody.class);
			}
			case RELEASED -> {
				this.isReleased = true;
			}
		}
	}

	private void reserve(ReservedBody body) {
		Turn previous = this.turns.put(body.turn(),
				new Turn(body.requestHash(), body.tokens(), body.messagesJson(), null, null));
		this.tokens += body.tokens() - ((previous != null) ? previous.tokens() : 0);
		this.lastActivityMs = Math.max(this.lastActivityMs, body.wallClockMs());
	}

	private void complete(CompletedBody body) {
		Turn turn = this.turns.get(body.turn());
		if (turn == null) {
			return;
		}
		long spent = (long) body.result().promptTokens() + body.result().generatedTokens();
		this.tokens += spent - turn.tokens();
		this.turns.put(body.turn(), new Turn(turn.requestHash(), spent, turn.messagesJson(), body.result(), null));
		this.completedTurns = Math.max(this.completedTurns, body.turn());
		this.lastActivityMs = Math.max(this.lastActivityMs, body.wallClockMs());
	}

	private void recordIntent(IntendedBody body) {
		AtMostOnceCall previous = this.atMostOnceCalls.get(body.key());
		long firstSeenMs = (previous != null) ? previous.intended().wallClockMs() : body.wallClockMs();
		IntendedBody intended = new IntendedBody(body.turn(), body.key(), body.requestHash(), body.workspace(),
				body.call(), firstSeenMs);
		this.atMostOnceCalls.put(body.key(),
				new AtMostOnceCall(intended, AtMostOnceState.INTENDED, null, body.wallClockMs()));
		if (body.turn() > 0) {
			this.turns.put(body.turn(), new Turn(body.requestHash(), 0, "", null, body.key()));
		}
		this.lastActivityMs = Math.max(this.lastActivityMs, body.wallClockMs());
	}

	private void settle(SettledBody body) {
		AtMostOnceCall call = this.atMostOnceCalls.get(body.key());
		if (call == null) {
			return;
		}
		this.atMostOnceCalls.put(body.key(),
				new AtMostOnceCall(call.intended(), body.state(), body.result(), body.wallClockMs()));
		int turn = call.intended().turn();
		boolean isLast = this.turns.keySet().stream().noneMatch((number) -> number > turn);
		if (turn > 0 && body.state() == AtMostOnceState.NOT_SENT && isLast) {
			this.turns.remove(turn);
			this.completedTurns = Math.min(this.completedTurns, turn - 1);
		}
		else if (turn > 0) {
			this.turns.put(turn, new Turn(call.intended().requestHash(), 0, "", body.result(), body.key()));
			this.completedTurns = Math.max(this.completedTurns, turn);
		}
	}

	ProgramId id() {
		return this.id;
	}

	@Nullable OpenedBody opened() {
		return this.opened;
	}

	@Nullable ClosedBody closed() {
		return this.closed;
	}

	boolean isReleased() {
		return this.isReleased;
	}

	int completedTurns() {
		return this.completedTurns;
	}

	int callCount() {
		return this.turns.size();
	}

	long tokens() {
		return this.tokens;
	}

	long lastActivityMs() {
		return this.lastActivityMs;
	}

	Set<UpstreamId> upstreams() {
		return this.upstreams;
	}

	Map<String, AtMostOnceCall> atMostOnceCalls() {
		return this.atMostOnceCalls;
	}

	@Nullable Turn turn(int number) {
		return this.turns.get(number);
	}

	/**
	 * Builds the prompt of a turn: the messages and responses of all earlier model turns,
	 * then the messages of the turn itself.
	 * @param turn number of the turn
	 * @param messagesJson messages of the turn as a JSON array
	 * @return the prompt as a JSON array
	 */
	String prompt(int turn, String messagesJson) {
		StringBuilder prompt = new StringBuilder();
		for (Map.Entry<Integer, Turn> entry : this.turns.entrySet()) {
			Turn earlier = entry.getValue();
			if (entry.getKey() >= turn || earlier.messagesJson().isEmpty() || earlier.result() == null) {
				continue;
			}
			appendElements(prompt, arrayElements(earlier.messagesJson()));
			appendElements(prompt, "{\"role\":\"assistant\",\"content\":" + Json.write(earlier.result().body()) + "}");
		}
		appendElements(prompt, arrayElements(messagesJson));
		return "[" + prompt + "]";
	}

	/**
	 * Returns the number of tokens of the history that precedes the next turn.
	 * @return prompt and generated tokens of the last completed model turn, 0 if none
	 */
	long historyTokens() {
		long last = 0;
		for (Turn turn : this.turns.values()) {
			if (turn.result() != null && turn.tokens() > 0) {
				last = turn.tokens();
			}
		}
		return last;
	}

	private static void appendElements(StringBuilder target, String elements) {
		if (!elements.isBlank()) {
			target.append(target.isEmpty() ? "" : ",").append(elements);
		}
	}

	private static String arrayElements(String array) {
		String text = array.strip();
		return (text.startsWith("[") && text.endsWith("]")) ? text.substring(1, text.length() - 1) : text;
	}

}
