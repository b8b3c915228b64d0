package dev.nutmegdoor.node.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ControlThreadTests {

	private static final long LIMIT_MS = 20_000;

	private final ControlThread control = new ControlThread("test-control");

	@AfterEach
	void close() {
		this.control.close();
	}

	private static void fail(boolean isError) {
		if (isError) {
			throw new StackOverflowError("test");
		}
		throw new IllegalStateException("test");
	}

	// Guards against a periodic task that ends without a trace after one unexpected
	// error,
	// such as the reports of usage.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void keepsPeriodicTaskAfterFailure(boolean isError) throws Exception {
		AtomicInteger runs = new AtomicInteger();
		CompletableFuture<Integer> thirdRun = new CompletableFuture<>();
		this.control.subscribe(1, () -> {
			if (runs.incrementAndGet() == 3) {
				thirdRun.complete(3);
			}
			fail(isError);
		});
		assertThat(thirdRun.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(3));
	}

	// Guards against a control thread that runs nothing more after one message was
	// handled with an error.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void runsTasksAfterFailure(boolean isError) throws Exception {
		this.control.execute(() -> fail(isError));
		assertThat(this.control.call(() -> "done").get(LIMIT_MS, TimeUnit.MILLISECONDS), is("done"));
	}

}
