package dev.nutmegdoor.experiment.soak;

import dev.nutmegdoor.core.fake.FakeHost;

/**
 * Keeps an instance from renewing its lease although it runs and reaches everything else.
 */
final class RenewalBlocker {

	private final FakeHost host;

	private long untilMs;

	RenewalBlocker(FakeHost host) {
		this.host = host;
	}

	/**
	 * Sets the end of the block.
	 * @param newUntilMs time on the host's clock
	 */
	void set(long newUntilMs) {
		this.untilMs = newUntilMs;
	}

	boolean isActive() {
		return this.host.nowMs() < this.untilMs;
	}

}
