package dev.nutmegdoor.experiment.load;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.standin.http.UpstreamObserver;

/**
 * Checks the invariants that only upstreams can see. Callers mark each message with
 * program and turn, so that order and history can be read from the prompts.
 */
final class UpstreamChecker implements UpstreamObserver {

	/** Time in which a leaving upstream must stop getting work (design, section 1.2). */
	private static final long LEAVING_GRACE_NS = 3_000_000_000L;

	private static final Pattern MARK = Pattern.compile("<([0-9a-z.-]+) turn (\\d+)>");

	private final InvariantRegistry invariants;

	private final List<String> keys;

	private final Set<String> seenMarks = ConcurrentHashMap.newKeySet();

	private final Map<ProgramId, Integer> lastTurns = new ConcurrentHashMap<>();

	private final Map<ProgramId, AtomicLong> usedTokens = new ConcurrentHashMap<>();

	private final Map<ProgramId, Long> budgets = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final Map<UpstreamId, Long> leavingSinceNs = new ConcurrentHashMap<>();

	private final Map<UpstreamId, AtomicInteger> lateWork = new ConcurrentHashMap<>();

	UpstreamChecker(InvariantRegistry invariants, List<DemoWorkspace> workspaces) {
		this.invariants = invariants;
		this.keys = workspaces.stream().map(DemoWorkspace::key).toList();
	}

	/**
	 * Returns the text by which a message is recognised at the engine.
	 * @param owner text without spaces that identifies the program or call
	 * @param turn number of the turn
	 * @return the mark
	 */
	static String mark(String owner, int turn) {
		return "<" + owner + " turn " + turn + ">";
	}

	void opened(ProgramId program, long maxTokens) {
		this.budgets.put(program, maxTokens);
	}

	void leaving(UpstreamId upstream) {
		this.leavingSinceNs.put(upstream, System.nanoTime());
	}

	boolean isSeen(String mark) {
		return this.seenMarks.contains(mark);
	}

	boolean isRun(String idempotencyKey) {
		return this.runs.keySet().stream().anyMatch((key) -> key.endsWith(idempotencyKey));
	}

	/**
	 * Returns the operations that took effect more than once.
	 * @return number of repetitions
	 */
	long duplicated() {
		return this.runs.values().stream().mapToLong((count) -> count.get() - 1).sum();
	}

	/**
	 * Checks at the end that leaving upstreams got no late work.
	 */
	void checkLeaving() {
		for (UpstreamId upstream : this.leavingSinceNs.keySet()) {
			AtomicInteger late = this.lateWork.get(upstream);
			int count = (late != null) ? late.get() : 0;
			this.invariants.check(Invariant.UPSTREAM_DRAIN, count == 0,
					() -> "leaving upstream " + upstream + " got " + count + " requests after 3 s");
		}
	}

	@Override
	public void received(UpstreamId upstream, String text) {
		boolean hasKey = this.keys.stream().anyMatch(text::contains);
		this.invariants.check(Invariant.KEY_CONFIDENTIALITY, !hasKey, () -> "upstream " + upstream + " saw a key");
	}

	@Override
	public void streamStarted(UpstreamId upstream, EngineRequest request) {
		newWork(upstream);
		Matcher matcher = MARK.matcher(request.messagesJson());
		String owner = "";
		int turn = 0;
		boolean isWhole = true;
		while (matcher.find()) {
			int next = Integer.parseInt(matcher.group(2));
			isWhole &= next == turn + 1 && (owner.isEmpty() || owner.equals(matcher.group(1)));
			owner = matcher.group(1);
			turn = next;
		}
		this.seenMarks.add(mark(owner, turn));
		ProgramId program = request.program();
		if (program == null) {
			return;
		}
		int lastTurn = turn;
		this.invariants.check(Invariant.HISTORY_INTEGRITY, isWhole,
				() -> "program " + program + " has a history with holes or of others at turn " + lastTurn);
		Integer previous = this.lastTurns.put(program, turn);
		this.invariants.check(Invariant.PROGRAM_ORDER,
				(previous != null) ? lastTurn == previous || lastTurn == previous + 1 : lastTurn == 1,
				() -> "program " + program + " ran turn " + lastTurn + " after " + previous);
	}

	@Override
	public void streamEnded(UpstreamId upstream, EngineRequest request, EngineResult result) {
		ProgramId program = request.program();
		Long budget = (program != null) ? this.budgets.get(program) : null;
		if (program == null || budget == null) {
			return;
		}
		long used = this.usedTokens.computeIfAbsent(program, (id) -> new AtomicLong())
			.addAndGet(result.promptTokens() + (long) result.generatedTokens());
		this.invariants.check(Invariant.BUDGET, used <= budget,
				() -> "program " + program + " used " + used + " tokens of " + budget);
	}

	@Override
	public void operationRun(UpstreamId upstream, String operation, @Nullable String idempotencyKey) {
		newWork(upstream);
		if (idempotencyKey == null) {
			return;
		}
		int count = this.runs.computeIfAbsent(idempotencyKey, (key) -> new AtomicInteger()).incrementAndGet();
		this.invariants.check(Invariant.AT_MOST_ONCE, count == 1,
				() -> "operation " + operation + " with key " + idempotencyKey + " ran " + count + " times");
	}

	private void newWork(UpstreamId upstream) {
		Long sinceNs = this.leavingSinceNs.get(upstream);
		if (sinceNs != null && System.nanoTime() - sinceNs > LEAVING_GRACE_NS) {
			this.lateWork.computeIfAbsent(upstream, (id) -> new AtomicInteger()).incrementAndGet();
		}
	}

}
