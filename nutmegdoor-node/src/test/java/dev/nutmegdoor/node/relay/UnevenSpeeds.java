package dev.nutmegdoor.node.relay;

import net.openhft.hashing.LongHashFunction;

/**
 * Speeds of the machines of a simulated deployment: each has a constant speed of 0.6, 1
 * or 1.6 of the usual one, and is slow for a period of {@value #PERIOD_MS} ms from time
 * to time.
 */
final class UnevenSpeeds {

	static final long PERIOD_MS = 600;

	private static final double[] SPEEDS = { 0.6, 1, 1.6 };

	private static final double SLOW_SHARE = 0.15;

	private static final double SLOW_FACTOR = 2.5;

	private static final double PERCENT = 100;

	private final long seed;

	UnevenSpeeds(long seed) {
		this.seed = seed;
	}

	// Returns the duration of work on a machine as a multiple of that on a usual one.
	double factor(String machine, double timeMs) {
		return momentaryFactor(machine, timeMs) / SPEEDS[(int) (fraction(machine, -1) * SPEEDS.length)];
	}

	int workPercent(String machine, double timeMs) {
		return (int) Math.round(momentaryFactor(machine, timeMs) * PERCENT);
	}

	// Returns the duration of work that begins at a time.
	double durationMs(String machine, double startMs, double usualMs) {
		double remainingMs = usualMs;
		double timeMs = startMs;
		while (remainingMs > 0) {
			double factor = factor(machine, timeMs);
			double partMs = Math.min(periodEndMs(machine, timeMs) - timeMs, remainingMs * factor);
			remainingMs -= partMs / factor;
			timeMs += partMs;
			if (remainingMs < 1e-6) {
				break;
			}
		}
		return timeMs - startMs;
	}

	private double momentaryFactor(String machine, double timeMs) {
		return (fraction(machine, period(machine, timeMs)) < SLOW_SHARE) ? SLOW_FACTOR : 1;
	}

	private double periodEndMs(String machine, double timeMs) {
		return (period(machine, timeMs) + 1) * PERIOD_MS - offsetMs(machine);
	}

	private long period(String machine, double timeMs) {
		return (long) Math.floor((timeMs + offsetMs(machine) + 1e-6) / PERIOD_MS);
	}

	private double offsetMs(String machine) {
		return fraction(machine, -2) * PERIOD_MS;
	}

	private double fraction(String machine, long salt) {
		return (LongHashFunction.xx(this.seed * 31 + salt).hashChars(machine) >>> 11) * 0x1.0p-53;
	}

}
