package dev.nutmegdoor.core.watch;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ClockDifferenceTests {

	private static final long OTHER_CLOCK_MS = 500_000;

	private final ClockDifference difference = new ClockDifference();

	private void ask(long askedMs, long wayMs, long wayBackMs) {
		this.difference.record(askedMs, askedMs + wayMs + OTHER_CLOCK_MS, askedMs + wayMs + wayBackMs);
	}

	// Guards against messages on a slow link that seem to be new because the first answer
	// came on the same link.
	@Test
	void isNeverTakenForSmallerThanItIs() {
		ask(1_000, 2, 3_000);
		assertThat(this.difference.toOwnTime(10_000 + OTHER_CLOCK_MS), is(9_998L));
		ask(2_000, 3_000, 2);
		assertThat(this.difference.toOwnTime(10_000 + OTHER_CLOCK_MS), is(9_998L));
	}

	// Guards against a slow first answer that makes all messages seem old.
	@Test
	void isAskedForAgainUntilAnAnswerIsFast() {
		assertThat(this.difference.isKnown(), is(false));
		assertThat(this.difference.isQuestionDue(0), is(true));
		ask(0, 3_000, 2);
		assertThat(this.difference.isQuestionDue(3_002), is(true));
		ask(4_000, 2, 2);
		assertThat(this.difference.isQuestionDue(4_004), is(false));
		assertThat(this.difference.toOwnTime(5_000 + OTHER_CLOCK_MS), is(4_998L));
		assertThat(this.difference.isQuestionDue(30_000), is(true));
	}

	// Guards against clocks that drift until messages seem to be late, or too new.
	@Test
	void followsClocksThatDrift() {
		for (int ppm : new int[] { -500, 500 }) {
			ClockDifference drifting = new ClockDifference();
			for (long nowMs = 0; nowMs < 36_000_000; nowMs += 2_000) {
				long otherMs = nowMs + nowMs * ppm / 1_000_000;
				if (drifting.isQuestionDue(nowMs)) {
					drifting.record(nowMs - 2, otherMs - 1, nowMs);
				}
				assertThat(drifting.toOwnTime(otherMs) - nowMs,
						is(both(greaterThanOrEqualTo(-32L)).and(lessThanOrEqualTo(31L))));
			}
		}
	}

}
