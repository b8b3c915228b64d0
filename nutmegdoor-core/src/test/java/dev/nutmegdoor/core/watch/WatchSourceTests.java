package dev.nutmegdoor.core.watch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WatchSourceTests {

	private static final long CATCH_UP_MS = 1_300;

	private final WatchSource source = new WatchSource();

	private boolean isTrusted(long revision, long appliedRevision, long nowMs) {
		return this.source.isTrusted(new KindUpdate("k", true, 1, 1, revision, 0L, List.of()), appliedRevision, nowMs,
				CATCH_UP_MS);
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
	void distrustsSourceThatDoesNotReachAnAppliedRevision() {
		assertThat(isTrusted(50, 500, 0), is(true));
		assertThat(isTrusted(51, 500, CATCH_UP_MS), is(true));
		assertThat(isTrusted(52, 510, CATCH_UP_MS + 1), is(false));
		assertThat(isTrusted(510, 510, CATCH_UP_MS + 2), is(true));
	}

	// Guards against a healthy source that is passed over because it applies each change
	// a little later than this instance.
	@Test
	void trustsSourceThatReachesEachRevisionLater() {
		for (long i = 0; i < 100; i++) {
			assertThat(isTrusted(100 + 5 * i, 105 + 5 * i, i * CATCH_UP_MS), is(true));
		}
	}

	// Guards against a message that overtakes a later one on another connection.
	@Test
	void ignoresMessageThatArrivesAfterALaterOne() {
		assertThat(this.source.accept(new WatchUpdate("run", 2, 0L, null, null, List.of()), 0, 1_000), is(true));
		assertThat(this.source.accept(new WatchUpdate("run", 1, 0L, null, null, List.of()), 1, 1_000), is(false));
		assertThat(this.source.accept(new WatchUpdate("next", 1, 0L, null, null, List.of()), 2, 1_000), is(true));
	}

	// Guards against a clock that jumps, or a wrong age, which would make a proof valid
	// for long.
	@Test
	void showsNoStateOfTheFuture() {
		Long askedMs = this.source.subscribe(1_000);
		KindUpdate update = new KindUpdate("k", true, 1, 1, 1, -5_000L, List.of());
		this.source.accept(new WatchUpdate("run", 1, 500L, askedMs, null, List.of(update)), 1_002, 1_300);
		assertThat(this.source.verifiedMs(update), is(1_000L));
		this.source.accept(new WatchUpdate("run", 2, 90_500L, null, null, List.of(update)), 1_352, 1_300);
		assertThat(this.source.verifiedMs(update), is(1_352L));
	}

	// Guards against a proof that counts although the way of its message is not known,
	// also from a version that states no time.
	@Test
	void showsNothingBeforeTheClockIsKnown() {
		KindUpdate update = new KindUpdate("k", true, 1, 1, 1, 0L, List.of());
		Long askedMs = this.source.subscribe(1_000);
		this.source.accept(new WatchUpdate("run", 1, 500L, null, null, List.of(update)), 1_002, 1_300);
		assertThat(this.source.verifiedMs(update), is(WatchSource.NEVER_MS));
		this.source.accept(new WatchUpdate("run", 2, 500L, askedMs - 1, null, List.of(update)), 1_002, 1_300);
		assertThat(this.source.verifiedMs(update), is(WatchSource.NEVER_MS));
		this.source.accept(new WatchUpdate("run", 3, 500L, askedMs, null, List.of(update)), 1_002, 1_300);
		assertThat(this.source.verifiedMs(update), is(1_000L));
		this.source.accept(new WatchUpdate("run", 4, null, null, null, List.of(update)), 1_004, 1_300);
		assertThat(this.source.verifiedMs(update), is(WatchSource.NEVER_MS));
	}

	// Guards against followers of a version that states its health without a proof, which
	// would stay behind as long as its watch hangs.
	@Test
	void isNotHealthyByStatementsOfAnOlderVersion() {
		KindUpdate update = new KindUpdate("k", true, 1, 1, 1, null, List.of());
		this.source.accept(new WatchUpdate("run", 1, null, null, null, List.of(update)), 1_000, 1_300);
		assertThat(this.source.isHealthy(1_000, 1_500), is(false));
	}

}
