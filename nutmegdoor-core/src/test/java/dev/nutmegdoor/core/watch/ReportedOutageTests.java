package dev.nutmegdoor.core.watch;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ReportedOutageTests {

	private final VirtualTimerService timer = new VirtualTimerService(100_000);

	private final StoreHealth health = new StoreHealth(this.timer);

	private final ReportedOutage outage = new ReportedOutage();

	private void report(@Nullable Long sinceOutageMs) {
		this.timer.advance(350);
		long nowMs = this.timer.nowMs();
		this.outage.update(sinceOutageMs, this.health, nowMs);
		if (this.outage.isObserved()) {
			this.health.recordOutageElsewhere(this.outage.startMs(), nowMs - this.outage.endMs(nowMs));
		}
	}

	@Nested
	class WhileStoreAnswersThisProcess {

		// Guards against replicas that are kept although the store says that they have
		// left, because others don't reach it.
		@Test
		void isNoneOfTheStoreFromTheFirstAnswerOn() {
			report(0L);
			assertThat(ReportedOutageTests.this.health.timeSinceOutageMs(), is(0L));
			ReportedOutageTests.this.timer.advance(100);
			ReportedOutageTests.this.health.recordSuccess();
			assertThat(ReportedOutageTests.this.health.timeSinceOutageMs(), greaterThan(60_000L));
			for (long sinceMs : new long[] { 0, 0, 0, 350, 700 }) {
				report(sinceMs);
				assertThat(ReportedOutageTests.this.health.timeSinceOutageMs(), greaterThan(60_000L));
			}
		}

		// Guards against an outage of the store that is ignored because an earlier one
		// was none.
		@Test
		void countsAgainWhenTheNextOneBegins() {
			report(0L);
			ReportedOutageTests.this.health.recordSuccess();
			report(100L);
			report(450L);
			report(800L);
			report(0L);
			assertThat(ReportedOutageTests.this.health.timeSinceOutageMs(), is(0L));
		}

	}

	@Nested
	class WhileStoreIsOut {

		// Guards against replicas that are removed after an outage because this process
		// was answered before others noticed its end.
		@Test
		void countsIfCallsOfThisProcessFailedToo() {
			report(0L);
			ReportedOutageTests.this.health.recordFailure();
			ReportedOutageTests.this.timer.advance(100);
			ReportedOutageTests.this.health.recordSuccess();
			report(0L);
			report(200L);
			assertThat(ReportedOutageTests.this.health.timeSinceOutageMs(), lessThan(500L));
		}

		// Guards against an outage that is forgotten when the store answers again.
		@Test
		void countsAfterItsEnd() {
			report(0L);
			report(100L);
			ReportedOutageTests.this.health.recordSuccess();
			report(450L);
			assertThat(ReportedOutageTests.this.health.timeSinceOutageMs(), lessThan(1_000L));
		}

	}

}
