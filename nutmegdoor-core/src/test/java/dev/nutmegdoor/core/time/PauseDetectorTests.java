package dev.nutmegdoor.core.time;

import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class PauseDetectorTests {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i-1"), new AvailabilityZone("a"), 0);

	private final PauseDetector detector = new PauseDetector(this.host);

	// Guards against a violation that is reported because the process itself was
	// paused.
	@Test
	void detectsPauseInFirstCallbackAfterIt() {
		this.timer.advance(10_000);
		long startMs = this.host.nowMs();
		this.host.pause();
		this.timer.advance(5_000);
		this.host.resume();
		assertThat(this.detector.hasPausedSince(startMs), is(true));
	}

	// Guards against a detector that reports pauses of a running process, so that no
	// late change is ever reported as a violation.
	@Test
	void reportsNoPauseWhileProcessRuns() {
		this.timer.advance(10_000);
		assertThat(this.detector.hasPausedSince(0), is(false));
	}

	// Guards against an earlier pause that suppresses violations by changes which
	// started after it.
	@Test
	void ignoresPauseThatEndedBeforeGivenTime() {
		this.host.pause();
		this.timer.advance(5_000);
		this.host.resume();
		this.timer.advance(1_000);
		assertThat(this.detector.hasPausedSince(this.host.nowMs()), is(false));
	}

}
