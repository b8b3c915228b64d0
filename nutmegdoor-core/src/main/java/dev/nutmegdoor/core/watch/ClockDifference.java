package dev.nutmegdoor.core.watch;

/**
 * Lower bound of the difference between the clock of another process and the own one.
 * Each answer to a question shows it: the answer was sent after the question, however
 * long both were on their way. The fastest of the recent questions shows it best.
 */
final class ClockDifference {

	/**
	 * Time in milliseconds for which a question counts at least. Clocks that drift by 500
	 * ppm differ by 30 ms after twice that time.
	 */
	private static final long PERIOD_MS = 30_000;

	/** Time in milliseconds from question to answer up to which the bound is good. */
	private static final long PRECISE_MS = 100;

	private static final long UNKNOWN_MS = Long.MIN_VALUE / 2;

	private long periodEndMs;

	private long previousMs = UNKNOWN_MS;

	private long currentMs = UNKNOWN_MS;

	private long preciseMs = UNKNOWN_MS;

	/**
	 * Records an answer.
	 * @param askedMs time of the question by the own clock in milliseconds
	 * @param answeredMs time of the answer by the other clock in milliseconds
	 * @param nowMs current time by the own clock in milliseconds
	 */
	void record(long askedMs, long answeredMs, long nowMs) {
		if (nowMs >= this.periodEndMs) {
			this.previousMs = this.currentMs;
			this.currentMs = UNKNOWN_MS;
			this.periodEndMs = nowMs + PERIOD_MS;
		}
		this.currentMs = Math.max(this.currentMs, askedMs - answeredMs);
		if (nowMs - askedMs <= PRECISE_MS) {
			this.preciseMs = nowMs;
		}
	}

	/**
	 * Returns whether another question is needed.
	 * @param nowMs current time by the own clock in milliseconds
	 * @return {@code true} if there was no fast answer in half of a period
	 */
	boolean isQuestionDue(long nowMs) {
		return nowMs - this.preciseMs >= PERIOD_MS / 2;
	}

	boolean isKnown() {
		return this.currentMs != UNKNOWN_MS;
	}

	/**
	 * Converts a time of the other clock.
	 * @param otherMs time by the other clock in milliseconds
	 * @return the earliest time by the own clock that it can be
	 */
	long toOwnTime(long otherMs) {
		return otherMs + Math.max(this.previousMs, this.currentMs);
	}

}
