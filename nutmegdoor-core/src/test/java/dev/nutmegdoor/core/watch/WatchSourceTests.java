package dev.nutmegdoor.core.watch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WatchSourceTests {

	private static final long AHEAD_MS = 15_000;

	private final WatchSource source = new WatchSource();

	private boolean isTrusted(long revision, long appliedRevision, long nowMs) {
		return this.source.isTrusted(new KindUpdate("k", true, 1, 1, revision, 0L, List.of()), appliedRevision, nowMs,
				AHEAD_MS);
	}

	// Guards against changes of a store that was restored from an older state, which are
	// taken for old ones because their revisions are lower.
	@Test
	void distrustsSourceWhoseRevisionGoesBackUntilItIsReached() {
		assertThat(isTrusted(500, 490, 0), is(true));
		assertThat(isTrusted(50, 500, 10), is(false));
		assertThat(isTrusted(60, 500, 20), is(false));
		assertThat(isTrusted(60, 60, 30), is(true));
	}

	// Guards against a source that never reaches the own revision because the store was
	// restored before the source started.
	@Test
	void distrustsSourceThatStaysBehindLongerThanAWatch() {
		assertThat(isTrusted(50, 500, 0), is(true));
		assertThat(isTrusted(51, 500, AHEAD_MS), is(true));
		assertThat(isTrusted(52, 500, AHEAD_MS + 1), is(false));
	}

	// Guards against a healthy source that is passed over because its watch has not
	// returned since this instance's own.
	@Test
	void trustsSourceThatIsBehindForTheTimeOfAWatch() {
		assertThat(isTrusted(100, 105, 0), is(true));
		assertThat(isTrusted(100, 105, 10_000), is(true));
		assertThat(isTrusted(106, 105, 10_001), is(true));
		assertThat(isTrusted(106, 107, 20_000), is(true));
	}

	// Guards against a message that overtakes a later one on another connection.
	@Test
	void ignoresMessageThatArrivesAfterALaterOne() {
		assertThat(this.source.accept(new WatchUpdate("run", 2, 0L, null, List.of()), 0, 1_000), is(true));
		assertThat(this.source.accept(new WatchUpdate("run", 1, 0L, null, List.of()), 1, 1_000), is(false));
		assertThat(this.source.accept(new WatchUpdate("next", 1, 0L, null, List.of()), 2, 1_000), is(true));
	}

}
