package dev.nutmegdoor.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.time.VirtualTimerService;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

class EngineModelTests {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final EngineModel engine = create(EngineSettings.large(List.of("m")));

	private EngineModel create(EngineSettings settings) {
		return new EngineModel(settings, this.timer, RandomSource.XO_SHI_RO_256_PP.create(1));
	}

	private static EngineRequest request(String program, int promptTokens, int answerTokens, int priority) {
		List<Long> hashes = new ArrayList<>();
		for (long block = 1; block <= promptTokens / 512; block++) {
			hashes.add(block);
		}
		return new EngineRequest(program + "-" + promptTokens, "m", ProgramId.parse(program), "[]", hashes,
				promptTokens, answerTokens, priority);
	}

	private CompletableFuture<EngineResult> submit(EngineRequest request) {
		return this.engine.submit(request, (offset, text, tokens) -> {
		});
	}

	private EngineResult await(CompletableFuture<EngineResult> future) {
		this.timer.advance(60_000);
		return future.join();
	}

	@Nested
	class PrefixCaching {

		// Guards against an engine that prefills the history of a program again.
		@Test
		void skipsTheHistoryOfAProgram() {
			await(submit(request("a.0.p", 2_000, 48, 0)));
			assertThat(await(submit(request("a.0.p", 3_000, 10, 0))).cachedTokens(), is(2_048));
		}

		// Guards against memory that stays occupied after a program has ended.
		@Test
		void forgetsAReleasedProgram() {
			await(submit(request("a.0.p", 2_000, 48, 0)));
			assertThat(EngineModelTests.this.engine.release(ProgramId.parse("a.0.p")), is(true));
			assertThat(EngineModelTests.this.engine.currentLoad().usedCacheTokens(), is(0L));
		}

		// Guards against unlimited cache memory, which would hide the cost of bad
		// placement.
		@Test
		void evictsTheLeastRecentlyUsedProgram() {
			for (int i = 0; i < 7; i++) {
				await(submit(request("a.0.p" + i, 100_000, 10, 0)));
			}
			assertThat(await(submit(request("a.0.p0", 100_010, 10, 0))).cachedTokens(), is(0));
		}

	}

	@Nested
	class Batching {

		// Guards against a model in which a larger batch costs nothing.
		@Test
		void slowsDownWithTheBatch() {
			long startMs = EngineModelTests.this.timer.nowMs();
			List<Long> endsMs = new ArrayList<>();
			for (int i = 0; i < 32; i++) {
				submit(request("a.0.q" + i, 1_000, 50, 0))
					.thenAccept((result) -> endsMs.add(EngineModelTests.this.timer.nowMs() - startMs));
			}
			EngineModelTests.this.timer.advance(60_000);
			submit(request("a.0.alone", 1_000, 50, 0));
			long aloneStartMs = EngineModelTests.this.timer.nowMs();
			while (EngineModelTests.this.engine.currentLoad().runningCalls() > 0) {
				assertThat("a running call has an event left", EngineModelTests.this.timer.runNext());
			}
			assertThat(endsMs.get(0), greaterThan(EngineModelTests.this.timer.nowMs() - aloneStartMs));
		}

		// Guards against urgent calls that wait behind deferrable ones.
		@Test
		void admitsUrgentCallsFirst() {
			List<String> ends = new ArrayList<>();
			for (int i = 0; i < 40; i++) {
				submit(request("a.0.low" + i, 1_000, 50, 5));
			}
			submit(request("a.0.low", 1_000, 50, 5)).thenAccept((result) -> ends.add("low"));
			submit(request("a.0.high", 1_000, 50, 1)).thenAccept((result) -> ends.add("high"));
			EngineModelTests.this.timer.advance(60_000);
			assertThat(ends, is(List.of("high", "low")));
		}

	}

	@Nested
	class Streams {

		// Guards against a resumed stream that repeats or skips text.
		@Test
		void resumeFromAnOffset() {
			EngineRequest request = request("a.0.p", 1_000, 50, 0);
			CompletableFuture<EngineResult> future = submit(request);
			EngineModelTests.this.timer.advance(500);
			StringBuilder rest = new StringBuilder();
			EngineModelTests.this.engine.resume(request.streamId(), 5, (offset, text, tokens) -> rest.append(text));
			String whole = await(future).text();
			assertThat(rest.toString(), is(whole.substring(5)));
		}

		// Guards against a cancelled call that keeps its place in the batch.
		@Test
		void freeTheirPlaceWhenCancelled() {
			EngineRequest request = request("a.0.p", 1_000, 4_000, 0);
			CompletableFuture<EngineResult> future = submit(request);
			EngineModelTests.this.timer.advance(500);
			EngineModelTests.this.engine.cancel(request.streamId());
			assertThat(EngineModelTests.this.engine.currentLoad().runningCalls(), is(0));
			assertThrows(CompletionException.class, future::join);
		}

	}

	@Nested
	class Orders {

		// Guards against an order of a scheduler whose lease has passed to another.
		@Test
		void withAnOldNumberAreRefused() {
			EngineModelTests.this.engine.loadModel("n", 7);
			CompletableFuture<Void> old = EngineModelTests.this.engine.loadModel("o", 6);
			assertThrows(CompletionException.class, old::join);
		}

		// Guards against a stand-in that hides the engines that ignore the number.
		@Test
		void withAnOldNumberAreRunByEnginesThatIgnoreIt() {
			EngineModel ignoring = create(EngineSettings.large(List.of("m")).withFencingChecked(false));
			ignoring.loadModel("n", 7);
			CompletableFuture<Void> old = ignoring.loadModel("o", 6);
			EngineModelTests.this.timer.advance(30_000);
			assertThat(old.isDone() && !old.isCompletedExceptionally(), is(true));
		}

	}

	@Nested
	class LoadReports {

		// Guards against reports without lag, which would flatter every policy.
		@Test
		void lagBehindTheLoad() {
			EngineModelTests.this.timer.advance(1_000);
			submit(request("a.0.p", 1_000, 100, 0));
			EngineModelTests.this.timer.advance(300);
			assertThat(EngineModelTests.this.engine.report().runningCalls(), is(0));
			EngineModelTests.this.timer.advance(700);
			assertThat(EngineModelTests.this.engine.report().runningCalls(), is(1));
			assertThat(EngineModelTests.this.engine.report().ageMs(), lessThan(700L));
		}

	}

}
