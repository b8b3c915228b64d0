package dev.nutmegdoor.node.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleFunction;
import java.util.function.DoubleUnaryOperator;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Model of an engine in the users' deployments. Each step of its batch generates one
 * token for each call whose prompt has been read, and reads at most
 * {@value #MAX_CHUNK_TOKENS} tokens of the other prompts. Parts of prompts are cached,
 * with the least recently used evicted first.
 */
final class ModelledEngine {

	static final double STEP_MS = 3.41;

	static final double STEP_PER_CALL_MS = 0.097;

	static final double PREFILL_TOKENS_PER_MS = 112;

	private static final int MAX_CHUNK_TOKENS = 1_024;

	private final TimerService timer;

	private final int maxBatchSize;

	private final Times times;

	private final DoubleUnaryOperator factorAt;

	private final DoubleFunction<@Nullable Integer> workPercentAt;

	private final int cacheTokens;

	private final Map<String, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);

	private final List<Generation> running = new ArrayList<>();

	private final Deque<Generation> waiting = new ArrayDeque<>();

	private long cachedTokens;

	private long readTokens;

	private double clockMs;

	private boolean isStepping;

	/**
	 * Creates an engine without requests.
	 * @param timer source of time
	 * @param maxBatchSize requests that it runs concurrently
	 * @param cacheTokens tokens that fit into its prefix cache
	 * @param times durations of its work at the usual speed
	 * @param factorAt duration of work at a time as a multiple of the usual one
	 * @param workPercentAt what it states about that at a time
	 */
	ModelledEngine(TimerService timer, int maxBatchSize, int cacheTokens, Times times, DoubleUnaryOperator factorAt,
			DoubleFunction<@Nullable Integer> workPercentAt) {
		this.timer = timer;
		this.times = times;
		this.factorAt = factorAt;
		this.workPercentAt = workPercentAt;
		this.maxBatchSize = maxBatchSize;
		this.cacheTokens = cacheTokens;
	}

	long readTokens() {
		return this.readTokens;
	}

	RelayEnd.ReportedLoad load() {
		return new RelayEnd.ReportedLoad(this.running.size(), this.waiting.size(), this.maxBatchSize,
				this.workPercentAt.apply(this.timer.nowMs()));
	}

	void submit(List<PromptPart> prompt, int answerTokens, Runnable onFirstToken, Runnable onEnd) {
		this.waiting.add(new Generation(prompt, answerTokens, onFirstToken, onEnd));
		if (!this.isStepping) {
			this.isStepping = true;
			this.clockMs = this.timer.nowMs();
			step();
		}
	}

	private void step() {
		while (this.running.size() < this.maxBatchSize && !this.waiting.isEmpty()) {
			Generation generation = this.waiting.remove();
			generation.unreadPromptTokens = uncachedTokens(generation.prompt);
			this.readTokens += generation.unreadPromptTokens;
			this.running.add(generation);
		}
		if (this.running.isEmpty()) {
			this.isStepping = false;
			return;
		}
		int chunkTokens = 0;
		int decodingCalls = 0;
		for (Generation generation : this.running) {
			if (generation.unreadPromptTokens == 0) {
				decodingCalls++;
			}
			else if (chunkTokens < MAX_CHUNK_TOKENS) {
				int promptTokensRead = Math.min(MAX_CHUNK_TOKENS - chunkTokens, generation.unreadPromptTokens);
				chunkTokens += promptTokensRead;
				generation.unreadPromptTokens -= promptTokensRead;
				generation.isPromptReadInStep = generation.unreadPromptTokens == 0;
			}
		}
		double stepMs = this.times.stepMs + this.times.stepPerCallMs * decodingCalls
				+ chunkTokens / this.times.prefillTokensPerMs;
		this.clockMs += stepMs * this.factorAt.applyAsDouble(this.clockMs);
		long delayMs = Math.max(0, Math.round(this.clockMs) - this.timer.nowMs());
		this.timer.schedule(delayMs, this::finishStep);
	}

	private void finishStep() {
		List<Generation> completed = new ArrayList<>();
		for (Iterator<Generation> iterator = this.running.iterator(); iterator.hasNext();) {
			Generation generation = iterator.next();
			if (generation.unreadPromptTokens > 0) {
				continue;
			}
			if (generation.isPromptReadInStep) {
				generation.isPromptReadInStep = false;
				cachePrompt(generation.prompt);
			}
			if (generation.generatedTokens++ == 0) {
				generation.onFirstToken.run();
			}
			if (generation.generatedTokens >= generation.answerTokens) {
				iterator.remove();
				completed.add(generation);
			}
		}
		completed.forEach((generation) -> generation.onEnd.run());
		step();
	}

	private int uncachedTokens(List<PromptPart> prompt) {
		int tokens = 0;
		boolean isCached = true;
		for (PromptPart part : prompt) {
			isCached &= this.cache.get(part.id()) != null;
			tokens += isCached ? 0 : part.tokens();
		}
		return tokens;
	}

	private void cachePrompt(List<PromptPart> prompt) {
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

	/**
	 * Durations of an engine's work.
	 *
	 * @param stepMs duration of a step without calls in milliseconds
	 * @param stepPerCallMs additional duration for each call that generates
	 * @param prefillTokensPerMs prompt tokens read in a millisecond
	 */
	record Times(double stepMs, double stepPerCallMs, double prefillTokensPerMs) {

		static final Times USUAL = new Times(STEP_MS, STEP_PER_CALL_MS, PREFILL_TOKENS_PER_MS);

	}

	private static final class Generation {

		private final List<PromptPart> prompt;

		private final int answerTokens;

		private final Runnable onFirstToken;

		private final Runnable onEnd;

		private int unreadPromptTokens;

		private int generatedTokens;

		private boolean isPromptReadInStep;

		private Generation(List<PromptPart> prompt, int answerTokens, Runnable onFirstToken, Runnable onEnd) {
			this.prompt = prompt;
			this.answerTokens = answerTokens;
			this.onFirstToken = onFirstToken;
			this.onEnd = onEnd;
		}

	}

}
