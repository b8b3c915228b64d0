package dev.nutmegdoor.standin.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.placement.CacheEvent;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.TokenListener;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Model of a model engine. Each step of the batch generates one token for every decoding
 * sequence and prefills at most one chunk; its time grows with both. All methods are
 * called on the timer service's thread; futures fail with {@link UpstreamException}.
 */
public final class EngineModel {

	/** Ended streams stay resumable this long. */
	private static final long RESUMABLE_MS = 30_000;

	private final EngineSettings settings;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final PrefixCache cache;

	private final EngineJournal journal;

	private final EngineBatch batch;

	private final Map<String, EngineSequence> streams = new HashMap<>();

	private final LoadedModels models;

	private final ReportJournal reports;

	private EngineFaults faults = EngineFaults.NONE;

	private long order;

	private long reportSequence;

	/**
	 * Creates an idle engine and starts its load reports.
	 * @param settings properties of the engine
	 * @param timer source of time
	 * @param random seeded generator of faults and lost events
	 */
	public EngineModel(EngineSettings settings, TimerService timer, UniformRandomProvider random) {
		this.settings = settings;
		this.timer = timer;
		this.random = random;
		this.journal = new EngineJournal(timer, random, settings);
		this.cache = new PrefixCache(settings.cacheCapacityTokens(), this.journal::add);
		this.batch = new EngineBatch(settings, timer, this.cache);
		this.models = new LoadedModels(settings, timer);
		this.reports = new ReportJournal(timer, settings.reportLagMs());
		measure();
		timer.subscribe(settings.reportPeriodMs(), this::measure);
	}

	/**
	 * Accepts a request.
	 * @param request the request
	 * @param listener receives each generated token
	 * @return the end of the stream
	 */
	public CompletableFuture<EngineResult> submit(EngineRequest request, TokenListener listener) {
		if (!this.models.contains(request.model())) {
			return CompletableFuture
				.failedFuture(new UpstreamException(RunState.NOT_RUN, "model " + request.model() + " is not loaded"));
		}
		boolean isHanging = this.random.nextDouble() < this.faults.hangRate();
		int answerTokens = Math.max(1, Math.min(request.maxTokens(), this.settings.longestAnswerTokens()));
		int failAfter = (this.random.nextDouble() < this.faults.failRate()) ? this.random.nextInt(answerTokens)
				: Integer.MAX_VALUE;
		EngineSequence sequence = new EngineSequence(request, this.order++, answerTokens, isHanging, failAfter);
		sequence.attach(listener, 0);
		this.streams.put(request.streamId(), sequence);
		this.batch.add(sequence);
		sequence.future.whenComplete((result, failure) -> this.timer.schedule(RESUMABLE_MS,
				() -> this.streams.remove(request.streamId(), sequence)));
		return sequence.future;
	}

	/**
	 * Attaches another listener to a stream, which first receives the text from an
	 * offset.
	 * @param streamId identifier of the stream
	 * @param fromOffset characters that the listener already has
	 * @param listener receives the text
	 * @return the end of the stream, or {@code null} if the stream is unknown
	 */
	public @Nullable CompletableFuture<EngineResult> resume(String streamId, int fromOffset, TokenListener listener) {
		EngineSequence sequence = this.streams.get(streamId);
		if (sequence == null) {
			return null;
		}
		sequence.attach(listener, fromOffset);
		return sequence.future;
	}

	/**
	 * Ends a stream; its future fails.
	 * @param streamId identifier of the stream
	 * @return {@code false} if there is no such running stream
	 */
	public boolean cancel(String streamId) {
		EngineSequence sequence = this.streams.get(streamId);
		if (sequence == null || sequence.isEnded) {
			return false;
		}
		this.batch.fail(sequence, RunState.RAN, "stream " + streamId + " was cancelled");
		return true;
	}

	/**
	 * Frees the cached prefix of a program.
	 * @param program the program
	 * @return {@code false} if the engine held none
	 */
	public boolean release(ProgramId program) {
		return this.cache.release(program.toString());
	}

	/**
	 * Returns the cached prefix of a program.
	 * @param program the program
	 * @return the prefix, or {@code null} if the engine holds none
	 */
	public @Nullable CachedPrefix exportPrefix(ProgramId program) {
		return this.cache.get(program.toString());
	}

	/**
	 * Adds a prefix that another engine has exported.
	 * @param prefix the prefix
	 * @return completes with the number of tokens after the time that the copy takes
	 */
	public CompletableFuture<Integer> importPrefix(CachedPrefix prefix) {
		CompletableFuture<Integer> future = new CompletableFuture<>();
		long copyMs = Math.round(Math.ceil(prefix.tokens() / this.settings.copyTokensPerMs()));
		this.timer.schedule(copyMs, () -> {
			this.cache.put(prefix);
			future.complete(prefix.tokens());
		});
		return future;
	}

	/**
	 * Returns the newest load report that is visible.
	 * @return the report, with its age
	 */
	public LoadReport report() {
		return this.reports.newestVisible();
	}

	/**
	 * Returns the load at this moment, which no scheduler outside an experiment can know.
	 * @return the load
	 */
	public LoadReport currentLoad() {
		return new LoadReport(this.reportSequence, 0, this.batch.runningCalls(), this.batch.waitingCalls(),
				this.batch.prefillTokens(), this.cache.usedTokens(), this.settings.cacheCapacityTokens(),
				this.models.names());
	}

	/**
	 * Returns visible cache events.
	 * @param afterSequence sequence number of the last event that the caller has
	 * @return events in their order; a hole in the sequence numbers is a lost event
	 */
	public List<CacheEvent> events(long afterSequence) {
		return this.journal.after(afterSequence);
	}

	/**
	 * Loads a model, replacing the one that was loaded first if memory is full.
	 * @param model name of the model
	 * @param fencingNumber number of the order
	 * @return completes when the model is loaded; fails if the number is old and the
	 * engine checks numbers
	 */
	public CompletableFuture<Void> loadModel(String model, long fencingNumber) {
		return this.models.load(model, fencingNumber);
	}

	public void setFaults(EngineFaults faults) {
		this.faults = faults;
		this.batch.setSlowFactor(faults.slowFactor());
	}

	/**
	 * Loses all streams and cached prefixes, as a restart of the process does.
	 */
	public void restart() {
		this.batch.failAll("engine restarted");
		this.streams.clear();
	}

	private void measure() {
		if (!this.faults.isReportStale()) {
			this.reportSequence++;
			this.reports.add(currentLoad());
		}
	}

}
