package dev.nutmegdoor.core.watch;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ClockDifferenceTests {

	private final ClockDifference difference = new ClockDifference();

	// Guards against a delayed message that counts as sent when it arrives.
	@Test
	void showsDelayOfMessageAfterFasterOne() {
		assertThat(this.difference.toOwnTime(1_000, 501_002), is(501_002L));
		assertThat(this.difference.toOwnTime(2_000, 505_000), is(502_002L));
		assertThat(this.difference.toOwnTime(3_000, 503_001), is(503_001L));
	}

	// Guards against a clock that drifts until all messages seem to be late.
	@Test
	void followsClocksThatDrift() {
		for (long sentMs = 0; sentMs < 36_000_000; sentMs += 350) {
			long arrivedMs = sentMs + sentMs / 2_000 + 1;
			long lateMs = arrivedMs - this.difference.toOwnTime(sentMs, arrivedMs);
			assertThat(lateMs, is(both(greaterThanOrEqualTo(0L)).and(lessThanOrEqualTo(31L))));
		}
	}

	// Guards against a slow start of a connection that hides all later delays.
	@Test
	void correctsFirstMessageThatWasSlow() {
		this.difference.toOwnTime(0, 3_000);
		this.difference.toOwnTime(350, 351);
		assertThat(this.difference.toOwnTime(700, 3_700), is(701L));
	}

}
