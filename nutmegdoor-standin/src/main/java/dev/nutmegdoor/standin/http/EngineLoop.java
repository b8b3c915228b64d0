package dev.nutmegdoor.standin.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Continuous batching with a prefix cache: each step prefills a chunk of waiting prompts
 * and generates one token of each other stream. Runs on the thread of its timers.
 */
final class EngineLoop {

	/** Prompt tokens per step; larger chunks would stall the generating streams. */
	private static final int PREFILL_CHUNK_TOKENS = 512;

	private final EngineStandinSettings settings;

	private final TimerService timers;

	private final List<EngineStream> waiting = new ArrayList<>();

	private final List<EngineStream> batch = new ArrayList<>();

	private final Map<String, EngineStream> streams = new HashMap<>();

	/** Cached tokens by program, the least recently used first. */
	private final LinkedHashMap<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedTokens;

	private boolean isStepping;

	EngineLoop(EngineStandinSettings settings, TimerService timers) {
		this.settings = settings;
		this.timers = timers;
	}

	/**
	 * Queues a stream.
	 * @param stream the stream
	 * @return tokens of its prompt that are cached
	 */
	int add(EngineStream stream) {
		int cached = Math.min(cachedTokensOf(stream.program()), Math.max(0, stream.promptTokens() - 1));
		stream.beginPrefill(cached);
		this.streams.put(stream.id(), stream);
		this.waiting.add(stream);
		this.waiting.sort(Comparator.comparingInt(EngineStream::priority));
		if (!this.isStepping) {
			this.isStepping = true;
			this.timers.schedule(0, this::step);
		}
		return cached;
	}

	private int cachedTokensOf(@Nullable String program) {
		Integer tokens = (program != null) ? this.cache.get(program) : null;
		return (tokens != null) ? tokens : 0;
	}

	boolean cancel(String streamId) {
		EngineStream stream = this.streams.remove(streamId);
		if (stream == null) {
			return false;
		}
		this.waiting.remove(stream);
		this.batch.remove(stream);
		stream.fail("cancelled");
		return true;
	}

	void release(String program) {
		Integer tokens = this.cache.remove(program);
		this.cachedTokens -= (tokens != null) ? tokens : 0;
	}

	int load(String program, int tokens) {
		keep(program, tokens);
		return cachedTokensOf(program);
	}

	long cachedTokens() {
		return this.cachedTokens;
	}

	List<String> cachedPrograms() {
		return new ArrayList<>(this.cache.keySet());
	}

	int running() {
		return this.batch.size();
	}

	int waiting() {
		return this.waiting.size();
	}

	private void step() {
		while (this.batch.size() < this.settings.maxBatch() && !this.waiting.isEmpty()) {
			this.batch.add(this.waiting.remove(0));
		}
		if (this.batch.isEmpty()) {
			this.isStepping = false;
			return;
		}
		int prefilled = 0;
		for (EngineStream stream : List.copyOf(this.batch)) {
			if (!this.batch.contains(stream)) {
				continue;
			}
			if (stream.isPrefilling()) {
				prefilled += stream.prefill(PREFILL_CHUNK_TOKENS - prefilled);
			}
			else if (stream.generate()) {
				this.batch.remove(stream);
				this.streams.remove(stream.id());
				if (stream.program() != null) {
					keep(stream.program(), stream.promptTokens() + stream.generatedTokens());
				}
			}
		}
		double durationMs = this.settings.stepMs() + prefilled / this.settings.prefillTokensPerMs();
		this.timers.schedule(Math.round(durationMs), this::step);
	}

	private void keep(String program, int tokens) {
		release(program);
		if (tokens > this.settings.cacheTokens()) {
			return;
		}
		this.cache.put(program, tokens);
		this.cachedTokens += tokens;
		while (this.cachedTokens > this.settings.cacheTokens()) {
			release(this.cache.keySet().iterator().next());
		}
	}

}
