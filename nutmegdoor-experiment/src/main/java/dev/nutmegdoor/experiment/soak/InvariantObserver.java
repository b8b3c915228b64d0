package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Sees every instance, upstream and caller of a run and checks the invariants that no
 * single instance can check.
 */
public final class InvariantObserver {

	private final InvariantRegistry invariants;

	private final EventTrace trace;

	private final Map<String, Long> acknowledgedHashes = new HashMap<>();

	private final Map<ProgramId, Integer> acknowledgedHeads = new HashMap<>();

	private final Map<String, Tracked> calls = new HashMap<>();

	private final Map<String, Integer> executions = new HashMap<>();

	private final Map<String, Integer> lastFirstTurn = new HashMap<>();

	private final Map<String, Map<Integer, String>> modelAnswers = new HashMap<>();

	private final TreeSet<String> endedPrograms = new TreeSet<>();

	private final Map<WorkspaceId, RateBoundChecker> rates = new HashMap<>();

	private final VirtualTimerService timer;

	InvariantObserver(InvariantRegistry invariants, EventTrace trace, VirtualTimerService timer) {
		this.invariants = invariants;
		this.trace = trace;
		this.timer = timer;
	}

	/**
	 * Records that an instance admitted a request.
	 * @param workspace workspace of the request
	 */
	void admitted(WorkspaceId workspace) {
		RateBoundChecker bound = this.rates.computeIfAbsent(workspace,
				(key) -> new RateBoundChecker(this.timer.nowMs()));
		check(Invariant.RATE_LIMIT, bound.take(this.timer.nowMs()),
				"workspace " + workspace + " got more than its rate and burst");
	}

	InvariantRegistry invariants() {
		return this.invariants;
	}

	private void check(Invariant invariant, boolean isSatisfied, String detail) {
		if (!isSatisfied) {
			this.trace.add("VIOLATION " + invariant + " " + detail);
		}
		this.invariants.check(invariant, isSatisfied, () -> detail);
	}

	void acknowledged(ProgramId program, int sequence, long hash) {
		Long earlier = this.acknowledgedHashes.putIfAbsent(program + "@" + sequence, hash);
		check(Invariant.HISTORY_INTEGRITY, earlier == null || earlier == hash,
				"two acknowledged entries at position " + sequence + " of " + program);
		this.acknowledgedHeads.merge(program, sequence, Math::max);
	}

	void forgotten(ProgramId program) {
		this.acknowledgedHeads.remove(program);
	}

	Map<ProgramId, Integer> acknowledgedHeads() {
		return this.acknowledgedHeads;
	}

	@Nullable Long acknowledgedHash(ProgramId program, int sequence) {
		return this.acknowledgedHashes.get(program + "@" + sequence);
	}

	private Tracked call(String name) {
		return this.calls.computeIfAbsent(name, (key) -> new Tracked());
	}

	void attemptStarted(String name) {
		call(name).open++;
	}

	void attemptEnded(String name, boolean isNotRun) {
		Tracked call = call(name);
		call.open--;
		if (!isNotRun) {
			call.mayHaveRun++;
			return;
		}
		check(Invariant.NOT_RUN_TRUTH, call.received == 0 || call.open > 0 || call.mayHaveRun > 0,
				name + " was refused as not run, but an upstream has received it");
	}

	void delivered(String name, String answer) {
		Tracked call = call(name);
		check(Invariant.ANSWER_MATCH, answer.startsWith(name + "="), name + " got the answer " + answer);
		check(Invariant.ANSWER_MATCH, call.answer == null || call.answer.equals(answer),
				name + " got the answers " + call.answer + " and " + answer);
		call.answer = answer;
	}

	void deliveredOfModel(String program, int turn, String answer) {
		this.modelAnswers.computeIfAbsent(program, (key) -> new TreeMap<>()).put(turn, answer);
	}

	void settledUnknown(String name) {
		call(name).isUnknown = true;
	}

	/**
	 * Records that an upstream received a call.
	 * @param name name of the call
	 */
	void received(String name) {
		Tracked call = call(name);
		check(Invariant.NOT_RUN_TRUTH, call.open > 0 || call.mayHaveRun > 0,
				name + " reached an upstream after it was refused as not run");
		int split = name.lastIndexOf(':');
		if (call.received++ == 0 && split > 0) {
			String program = name.substring(0, split);
			int turn = Integer.parseInt(name.substring(split + 1));
			int highest = this.lastFirstTurn.getOrDefault(program, 0);
			check(Invariant.PROGRAM_ORDER, turn > highest || call.isUnknown,
					name + " reached an upstream after turn " + highest);
			this.lastFirstTurn.merge(program, turn, Math::max);
		}
	}

	/**
	 * Records that an operation took effect.
	 * @param name name of the call
	 * @param isAtMostOnce whether it may take effect only once
	 */
	void executed(String name, boolean isAtMostOnce) {
		int count = this.executions.merge(name, 1, Integer::sum);
		if (isAtMostOnce) {
			check(Invariant.AT_MOST_ONCE, count == 1, name + " ran " + count + " times");
		}
	}

	/**
	 * Checks that a prompt is the history of its program and nothing else.
	 * @param contents contents of the messages in their order
	 */
	void prompted(List<String> contents) {
		String last = contents.get(contents.size() - 1);
		int split = last.lastIndexOf(':');
		String program = last.substring(0, split);
		int turn = Integer.parseInt(last.substring(split + 1));
		List<String> expected = new ArrayList<>();
		this.modelAnswers.getOrDefault(program, Map.of()).forEach((number, answer) -> {
			if (number < turn) {
				expected.add(program + ":" + number);
				expected.add(answer);
			}
		});
		boolean isOwn = contents.stream().allMatch((content) -> content.startsWith(program + ":"));
		boolean isWhole = contents.subList(0, contents.size() - 1).containsAll(expected);
		check(Invariant.HISTORY_INTEGRITY, isOwn && isWhole,
				"prompt of " + last + " is " + contents + " but should contain " + expected);
		received(last);
	}

	long answers() {
		return this.calls.values().stream().filter((call) -> call.answer != null).count();
	}

	void ended(ProgramId program) {
		this.endedPrograms.add(program.toString());
	}

	void checkReleased(String engine, String program) {
		check(Invariant.ENGINE_CACHE_RELEASED, !this.endedPrograms.contains(program),
				engine + " still holds " + program);
	}

	void checkAnswered(String name, boolean isAnswered) {
		check(Invariant.ANSWER_MATCH, isAnswered, name + " did not end after all faults were healed");
	}

	private static final class Tracked {

		private int open;

		private int mayHaveRun;

		private int received;

		private boolean isUnknown;

		private @Nullable String answer;

	}

}
