package dev.nutmegdoor.standin.platform;

import dev.nutmegdoor.node.settings.SettingsSection;

/**
 * Fault that is active during an interval.
 *
 * @param kind kind of the fault
 * @param fromMs start of the interval in milliseconds since the stand-in started
 * @param untilMs end of the interval, exclusive, in milliseconds since the stand-in
 * started
 * @param probability probability that the fault applies to a request in the interval, 0
 * to 1
 * @param delayMs additional delay of {@link PlatformFaultKind#SLOW} in milliseconds
 */
public record PlatformFault(PlatformFaultKind kind, long fromMs, long untilMs, double probability, long delayMs) {

	public PlatformFault {
		if (fromMs < 0 || untilMs <= fromMs) {
			throw new IllegalArgumentException(
					"fault must end after it starts but is from " + fromMs + " until " + untilMs + " ms");
		}
		if (!(probability >= 0 && probability <= 1)) {
			throw new IllegalArgumentException("probability must be from 0 to 1 but is " + probability);
		}
		if (delayMs < 0) {
			throw new IllegalArgumentException("delayMs must not be negative but is " + delayMs);
		}
	}

	static PlatformFault read(SettingsSection section) {
		long fromMs = section.integer("fromMs", 0, Long.MAX_VALUE - 1);
		long untilMs = section.integer("untilMs", 1, Long.MAX_VALUE);
		if (untilMs <= fromMs) {
			section.reject("untilMs", "a time after fromMs");
			untilMs = fromMs + 1;
		}
		return new PlatformFault(section.constant("kind", PlatformFaultKind.class), fromMs, untilMs,
				section.decimal("probability", 0, 1, 1.0), section.integer("delayMs", 0, 600_000, 0L));
	}

	boolean isActive(long elapsedMs) {
		return elapsedMs >= this.fromMs && elapsedMs < this.untilMs;
	}

}
