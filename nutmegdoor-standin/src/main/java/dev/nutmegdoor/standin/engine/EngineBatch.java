package dev.nutmegdoor.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Continuous batching: each step generates one token for every decoding sequence and
 * prefills at most one chunk; its time grows with both.
 */
final class EngineBatch {

	private static final Comparator<EngineSequence> BY_PRIORITY = Comparator
		.<EngineSequence>comparingInt((sequence) -> sequence.request.priority())
		.thenComparingLong((sequence) -> sequence.order);

	private final EngineSettings settings;

	private final TimerService timer;

	private final PrefixCache cache;

	private final PriorityQueue<EngineSequence> waiting = new PriorityQueue<>(BY_PRIORITY);

	private final List<EngineSequence> running = new ArrayList<>();

	private double slowFactor = 1;

	private boolean isStepping;

	private int generation;

	EngineBatch(EngineSettings settings, TimerService timer, PrefixCache cache) {
		this.settings = settings;
		this.timer = timer;
		this.cache = cache;
	}

	void add(EngineSequence sequence) {
		this.waiting.add(sequence);
		if (!this.isStepping) {
			startStep();
		}
	}

	void fail(EngineSequence sequence, RunState run, String message) {
		remove(sequence);
		sequence.future.completeExceptionally(new UpstreamException(run, message));
	}

	void failAll(String message) {
		this.generation++;
		this.isStepping = false;
		List<EngineSequence> lost = new ArrayList<>(this.running);
		lost.addAll(this.waiting);
		this.waiting.clear();
		this.running.clear();
		this.cache.clear();
		lost.forEach((sequence) -> fail(sequence, RunState.UNKNOWN, message));
	}

	void setSlowFactor(double slowFactor) {
		this.slowFactor = slowFactor;
	}

	int runningCalls() {
		return this.running.size();
	}

	int waitingCalls() {
		return this.waiting.size();
	}

	long prefillTokens() {
		long prefill = 0;
		for (EngineSequence sequence : this.running) {
			prefill += sequence.remainingPrefill;
		}
		for (EngineSequence sequence : this.waiting) {
			prefill += sequence.request.promptTokens() - matchedTokens(sequence);
		}
		return prefill;
	}

	private void startStep() {
		admit();
		int prefill = 0;
		int decoding = 0;
		for (EngineSequence sequence : this.running) {
			sequence.chunk = 0;
			if (sequence.isHanging) {
				continue;
			}
			if (sequence.remainingPrefill > 0) {
				sequence.chunk = Math.min(this.settings.prefillChunkTokens() - prefill, sequence.remainingPrefill);
				prefill += sequence.chunk;
			}
			else {
				decoding++;
			}
		}
		this.isStepping = prefill + decoding > 0;
		if (!this.isStepping) {
			return;
		}
		double stepMs = this.settings.stepBaseMs() + this.settings.stepPerSequenceMs() * decoding
				+ this.settings.prefillPerTokenMs() * prefill;
		int startedIn = this.generation;
		this.timer.schedule(Math.max(1, Math.round(stepMs * this.slowFactor)), () -> {
			if (startedIn == this.generation) {
				endStep();
				startStep();
			}
		});
	}

	private void admit() {
		while (this.running.size() < this.settings.maxBatch() && !this.waiting.isEmpty()) {
			EngineSequence next = this.waiting.element();
			next.cachedTokens = matchedTokens(next);
			if (!this.cache.reserve(next.owner, next.totalTokens())) {
				return;
			}
			this.waiting.remove();
			next.remainingPrefill = Math.max(1, next.request.promptTokens() - next.cachedTokens);
			this.running.add(next);
		}
	}

	private int matchedTokens(EngineSequence sequence) {
		EngineRequest request = sequence.request;
		return this.cache.matchedTokens(sequence.owner, request.model(), request.prefixHashes(),
				request.promptTokens());
	}

	private void endStep() {
		for (EngineSequence sequence : List.copyOf(this.running)) {
			boolean isDecoding = sequence.remainingPrefill == 0;
			sequence.remainingPrefill -= sequence.chunk;
			if (sequence.isEnded || sequence.isHanging || sequence.remainingPrefill > 0
					|| (!isDecoding && sequence.chunk == 0)) {
				continue;
			}
			if (sequence.generatedTokens >= sequence.failAfterTokens) {
				fail(sequence, RunState.UNKNOWN, "engine failed while generating");
				continue;
			}
			sequence.emit();
			if (!sequence.isEnded && sequence.generatedTokens >= sequence.answerTokens) {
				remove(sequence);
				sequence.future.complete(sequence.result());
			}
		}
	}

	private void remove(EngineSequence sequence) {
		sequence.isEnded = true;
		this.waiting.remove(sequence);
		if (this.running.remove(sequence)) {
			int tokens = sequence.request.promptTokens() - sequence.remainingPrefill + sequence.generatedTokens;
			this.cache.finish(
					new CachedPrefix(sequence.owner, sequence.request.model(), sequence.request.prefixHashes(), tokens),
					sequence.totalTokens());
		}
	}

}
