package dev.nutmegdoor.core.watch;

/**
 * Difference between the clocks of two processes, as the fastest of the recent messages
 * shows it. A message that arrives later than the clocks say has been delayed by a queue,
 * a slow link or a freeze of its receiver.
 */
final class ClockDifference {

	/**
	 * Time in milliseconds for which the fastest message counts at least. Clocks that
	 * drift by 500 ppm differ by 30 ms after twice that time.
	 */
	private static final long PERIOD_MS = 30_000;

	private long periodEndMs;

	private long previousMs = Long.MAX_VALUE;

	private long currentMs = Long.MAX_VALUE;

	/**
	 * Records a message and returns when it was sent.
	 * @param sentMs time by the clock of the sender in milliseconds
	 * @param arrivedMs time of the arrival by the own clock in milliseconds
	 * @return time by the own clock in milliseconds; too late by the delay of the fastest
	 * message
	 */
	long toOwnTime(long sentMs, long arrivedMs) {
		long differenceMs = arrivedMs - sentMs;
		if (this.currentMs == Long.MAX_VALUE) {
			this.periodEndMs = arrivedMs + PERIOD_MS;
		}
		else if (arrivedMs >= this.periodEndMs) {
			this.previousMs = this.currentMs;
			this.currentMs = Long.MAX_VALUE;
			this.periodEndMs = arrivedMs + PERIOD_MS;
		}
		this.currentMs = Math.min(this.currentMs, differenceMs);
		return sentMs + Math.min(this.previousMs, this.currentMs);
	}

}
