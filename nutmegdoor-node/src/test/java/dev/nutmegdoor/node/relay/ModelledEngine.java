package dev.nutmegdoor.node.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.time.TimerService;

/**
 * A model engine of the users' deployments: a batch whose steps generate a token for each
 * call and read a chunk of one waiting prompt, with a cache of prompt parts.
 */
final class ModelledEngine {

	static final double STEP_MS = 3.41;

	static final double STEP_PER_CALL_MS = 0.097;

	static final double PREFILL_TOKENS_PER_MS = 112;

	static final int BATCH = 16;

	private static final int CHUNK_TOKENS = 1_024;

	private final TimerService timer;

	private final int cacheTokens;

	private final Map<String, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);

	private final List<Run> running = new ArrayList<>();

	private final Deque<Run> waiting = new ArrayDeque<>();

	private long cachedTokens;

	private long readTokens;

	private double clockMs;

	private boolean isStepping;

	ModelledEngine(TimerService timer, int cacheTokens) {
		this.timer = timer;
		this.cacheTokens = cacheTokens;
	}

	long readTokens() {
		return this.readTokens;
	}

	RelayEnd.ReportedLoad load() {
		return new RelayEnd.ReportedLoad(this.running.size(), this.waiting.size(), BATCH);
	}

	void submit(List<PromptPart> prompt, int answerTokens, Runnable onFirst, Runnable onEnd) {
		this.waiting.add(new Run(prompt, answerTokens, onFirst, onEnd));
		if (!this.isStepping) {
			this.isStepping = true;
			this.clockMs = this.timer.nowMs();
			step();
		}
	}

	private void step() {
		while (this.running.size() < BATCH && !this.waiting.isEmpty()) {
			Run run = this.waiting.remove();
			run.unreadTokens = unread(run.prompt);
			this.readTokens += run.unreadTokens;
			this.running.add(run);
		}
		if (this.running.isEmpty()) {
			this.isStepping = false;
			return;
		}
		int chunk = 0;
		int decoding = 0;
		for (Run run : this.running) {
			if (run.unreadTokens == 0) {
				decoding++;
			}
			else if (chunk < CHUNK_TOKENS) {
				int part = Math.min(CHUNK_TOKENS - chunk, run.unreadTokens);
				chunk += part;
				run.unreadTokens -= part;
				run.isReadInStep = run.unreadTokens == 0;
			}
		}
		this.clockMs += STEP_MS + STEP_PER_CALL_MS * decoding + chunk / PREFILL_TOKENS_PER_MS;
		long delayMs = Math.max(0, Math.round(this.clockMs) - this.timer.nowMs());
		this.timer.schedule(delayMs, this::finishStep);
	}

	private void finishStep() {
		List<Run> ended = new ArrayList<>();
		for (Iterator<Run> iterator = this.running.iterator(); iterator.hasNext();) {
			Run run = iterator.next();
			if (run.unreadTokens > 0) {
				continue;
			}
			if (run.isReadInStep) {
				run.isReadInStep = false;
				keep(run.prompt);
			}
			if (run.generated++ == 0) {
				run.onFirst.run();
			}
			if (run.generated >= run.answerTokens) {
				iterator.remove();
				ended.add(run);
			}
		}
		ended.forEach((run) -> run.onEnd.run());
		step();
	}

	private int unread(List<PromptPart> prompt) {
		int tokens = 0;
		boolean isCached = true;
		for (PromptPart part : prompt) {
			isCached &= this.cache.get(part.id()) != null;
			tokens += isCached ? 0 : part.tokens();
		}
		return tokens;
	}

	private void keep(List<PromptPart> prompt) {
		for (PromptPart part : prompt) {
			if (this.cache.put(part.id(), part.tokens()) == null) {
				this.cachedTokens += part.tokens();
			}
		}
		Iterator<Map.Entry<String, Integer>> eldest = this.cache.entrySet().iterator();
		while (this.cachedTokens > this.cacheTokens && eldest.hasNext()) {
			this.cachedTokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	private static final class Run {

		private final List<PromptPart> prompt;

		private final int answerTokens;

		private final Runnable onFirst;

		private final Runnable onEnd;

		private int unreadTokens;

		private int generated;

		private boolean isReadInStep;

		private Run(List<PromptPart> prompt, int answerTokens, Runnable onFirst, Runnable onEnd) {
			this.prompt = prompt;
			this.answerTokens = answerTokens;
			this.onFirst = onFirst;
			this.onEnd = onEnd;
		}

	}

}
