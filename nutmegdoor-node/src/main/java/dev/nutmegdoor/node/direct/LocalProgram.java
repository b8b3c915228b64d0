package dev.nutmegdoor.node.direct;

import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * State of one program of {@link LocalPrograms}: its turns, history and budget.
 */
final class LocalProgram {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final ProgramId id;

	private final WorkspaceId workspace;

	private final @Nullable LocalProgram parent;

	private final int depth;

	private final ProgramBudget budget;

	private final long openedAtMs;

	private final InvariantRegistry invariants;

	private final ArrayNode history = MAPPER.createArrayNode();

	private final Map<Integer, CoalescedCall> calls = new HashMap<>();

	private final Map<Integer, CallHandle> handles = new HashMap<>();

	private int historyTokens;

	private int historyTurns;

	private int nextTurn = 1;

	private int runningTurn;

	private long reservedTokens;

	private long usedTokens;

	private int usedCalls;

	private boolean isClosed;

	LocalProgram(ProgramId id, WorkspaceId workspace, @Nullable LocalProgram parent, int depth, ProgramBudget budget,
			long openedAtMs, InvariantRegistry invariants) {
		this.id = id;
		this.workspace = workspace;
		this.parent = parent;
		this.depth = depth;
		this.budget = budget;
		this.openedAtMs = openedAtMs;
		this.invariants = invariants;
	}

	ProgramId id() {
		return this.id;
	}

	int depth() {
		return this.depth;
	}

	int nextTurn() {
		return this.nextTurn;
	}

	boolean isOwnedBy(WorkspaceId other) {
		return this.workspace.equals(other);
	}

	boolean isClosed() {
		return this.isClosed;
	}

	boolean isSameOrDescendantOf(LocalProgram ancestor) {
		return this == ancestor || (this.parent != null && this.parent.isSameOrDescendantOf(ancestor));
	}

	/**
	 * Closes the program and cancels its running call.
	 * @return {@code false} if the program was already closed
	 */
	boolean close() {
		if (this.isClosed) {
			return false;
		}
		this.isClosed = true;
		handle(this.runningTurn).cancel();
		return true;
	}

	@Nullable CoalescedCall call(int turn) {
		return this.calls.get(turn);
	}

	CallHandle handle(int turn) {
		return () -> {
			CallHandle handle = this.handles.get(turn);
			if (handle != null) {
				handle.cancel();
			}
		};
	}

	void registerHandle(int turn, CallHandle handle) {
		if (this.runningTurn == turn) {
			this.handles.put(turn, handle);
		}
	}

	/**
	 * Reserves the budget of a call in this program and all its ancestors.
	 * @param request call with its maximum number of tokens
	 * @param nowMs current time in milliseconds
	 * @return description of the exhausted budget, or {@code null} if the call is
	 * reserved
	 */
	@Nullable String reserve(CallRequest request, long nowMs) {
		long tokens = maxTokensOf(request);
		for (LocalProgram program = this; program != null; program = program.parent) {
			if (program.usedCalls + 1 > program.budget.maxCalls()) {
				return "the program has used its " + program.budget.maxCalls() + " calls";
			}
			if (program.usedTokens + program.reservedTokens + tokens > program.budget.maxTokens()) {
				return "the call may need " + tokens + " tokens, more than is left of the program's "
						+ program.budget.maxTokens();
			}
			if (nowMs - program.openedAtMs > program.budget.maxDurationMs()) {
				return "the program has used its " + program.budget.maxDurationMs() + " ms";
			}
		}
		for (LocalProgram program = this; program != null; program = program.parent) {
			program.usedCalls++;
			program.reservedTokens += tokens;
		}
		return null;
	}

	private long maxTokensOf(CallRequest request) {
		if (request.payload() instanceof ModelCall call) {
			return this.historyTokens + call.promptTokens() + (long) call.maxTokens();
		}
		return 0;
	}

	CoalescedCall begin(CallRequest request) {
		this.invariants.check(Invariant.PROGRAM_ORDER, this.runningTurn == 0 && request.turn() == this.nextTurn,
				() -> "program " + this.id + " starts turn " + request.turn() + " after " + (this.nextTurn - 1)
						+ " while turn " + this.runningTurn + " runs");
		this.invariants.check(Invariant.HISTORY_INTEGRITY, this.historyTurns == request.turn() - 1, () -> "program "
				+ this.id + " has the history of " + this.historyTurns + " turns at turn " + request.turn());
		this.runningTurn = request.turn();
		CoalescedCall coalesced = new CoalescedCall(request.payload(),
				new SettlementListener(request, maxTokensOf(request)));
		this.calls.put(request.turn(), coalesced);
		return coalesced;
	}

	/**
	 * Prepends the history of the program to the messages of a call.
	 * @param request call with the messages of its own turn only
	 * @return call to send to the engine; a call of a service is returned unchanged
	 */
	CallRequest withHistory(CallRequest request) {
		if (!(request.payload() instanceof ModelCall call)) {
			return request;
		}
		ArrayNode messages = this.history.deepCopy();
		messages.addAll(messagesOf(call));
		ModelCall extended = new ModelCall(call.model(), messages.toString(), this.historyTokens + call.promptTokens(),
				call.maxTokens());
		return new CallRequest(request.decision(), request.workspace(), request.key(), request.program(),
				request.turn(), request.workKind(), extended, request.timeoutMs());
	}

	private static ArrayNode messagesOf(ModelCall call) {
		try {
			JsonNode messages = MAPPER.readTree(call.messagesJson());
			return (messages instanceof ArrayNode array) ? array : MAPPER.createArrayNode().add(messages);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("failed to parse the messages of the call as JSON", ex);
		}
	}

	/**
	 * Settles the budget of a call and appends a completed call to the history.
	 */
	private final class SettlementListener implements CallListener {

		private final CallRequest request;

		private final long heldTokens;

		private SettlementListener(CallRequest request, long heldTokens) {
			this.request = request;
			this.heldTokens = heldTokens;
		}

		@Override
		public void generated(int offset, String text) {
		}

		@Override
		public void completed(CallResult result) {
			settle(Math.min(this.heldTokens, result.promptTokens() + (long) result.generatedTokens()));
			if (this.request.payload() instanceof ModelCall call) {
				LocalProgram.this.history.addAll(messagesOf(call));
				LocalProgram.this.history.addObject().put("role", "assistant").put("content", result.body());
				LocalProgram.this.historyTokens += call.promptTokens() + result.generatedTokens();
			}
			LocalProgram.this.historyTurns++;
			LocalProgram.this.nextTurn++;
		}

		@Override
		public void refused(Refusal refusal) {
			settle(0);
			LocalProgram.this.calls.remove(this.request.turn());
		}

		private void settle(long tokens) {
			LocalProgram.this.runningTurn = 0;
			LocalProgram.this.handles.remove(this.request.turn());
			for (LocalProgram program = LocalProgram.this; program != null; program = program.parent) {
				LocalProgram settled = program;
				settled.reservedTokens -= this.heldTokens;
				settled.usedTokens += tokens;
				LocalProgram.this.invariants.check(Invariant.BUDGET, settled.usedTokens <= settled.budget.maxTokens(),
						() -> "program " + settled.id + " used " + settled.usedTokens + " tokens");
			}
		}

	}

}
