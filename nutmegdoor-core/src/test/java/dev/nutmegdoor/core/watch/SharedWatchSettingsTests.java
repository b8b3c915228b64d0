package dev.nutmegdoor.core.watch;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class SharedWatchSettingsTests {

	/** Time in milliseconds for a call to the store and its way to the followers. */
	private static final long CALL_MS = 200;

	// Guards against followers that call the store before the watching instances have
	// done so, and against calls that come too late for the bound.
	@ParameterizedTest
	@ValueSource(longs = { 2_000, 3_000, 4_000, 10_000 })
	void leavesTimeForEachCall(long boundMs) {
		SharedWatchSettings settings = SharedWatchSettings.forBound(boundMs);
		assertThat(settings.verifyStepMs(), greaterThanOrEqualTo(CALL_MS));
		assertThat(settings.verifyMs() + settings.verifyStepMs() + CALL_MS, lessThanOrEqualTo(settings.freshMs()));
		assertThat(settings.freshMs() + settings.jitterMs() + CALL_MS, lessThanOrEqualTo(boundMs));
	}

}
