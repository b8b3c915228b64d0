package dev.nutmegdoor.node.relay;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class DrainDeadlineTests {

	private static final long GRACE_MS = 8_000;

	/** Time from the stop signal until all requests must have been answered. */
	private static final long ANSWERED_MS = 7_250;

	private final DrainDeadline deadline = new DrainDeadline(() -> TimeUnit.MILLISECONDS.toNanos(this.nowMs));

	private long nowMs = 100;

	@Nested
	class BeforeStop {

		// Guards against requests that are limited or rejected by an instance that does
		// not stop.
		@Test
		void limitsNothing() {
			assertThat(DrainDeadlineTests.this.deadline.isTooLate(GRACE_MS), is(false));
			assertThat(DrainDeadlineTests.this.deadline.remainingMs(), is(Long.MAX_VALUE));
		}

	}

	@Nested
	class AfterStop {

		// Guards against requests that run when the process is killed.
		@Test
		void leavesTimeForResponsesAndExit() {
			DrainDeadlineTests.this.deadline.start(GRACE_MS);
			assertThat(DrainDeadlineTests.this.deadline.remainingMs(), is(ANSWERED_MS));
			DrainDeadlineTests.this.nowMs += GRACE_MS;
			assertThat(DrainDeadlineTests.this.deadline.remainingMs(), is(0L));
		}

		// Guards against rejections while clients are still sent to the instance.
		@Test
		void rejectsNothingDuringNotice() {
			DrainDeadlineTests.this.deadline.start(GRACE_MS);
			DrainDeadlineTests.this.nowMs += GatewaySettings.DRAIN_NOTICE_MS - 1;
			assertThat(DrainDeadlineTests.this.deadline.isTooLate(GRACE_MS), is(false));
		}

		// Guards against late requests that are cut, and against rejections of those that
		// end in time.
		@Test
		void rejectsLateRequestsThatMayNotEndInTime() {
			DrainDeadlineTests.this.deadline.start(GRACE_MS);
			DrainDeadlineTests.this.nowMs += GatewaySettings.DRAIN_NOTICE_MS;
			long remainingMs = ANSWERED_MS - GatewaySettings.DRAIN_NOTICE_MS;
			assertThat(DrainDeadlineTests.this.deadline.isTooLate(remainingMs), is(false));
			assertThat(DrainDeadlineTests.this.deadline.isTooLate(remainingMs + 1), is(true));
		}

	}

}
