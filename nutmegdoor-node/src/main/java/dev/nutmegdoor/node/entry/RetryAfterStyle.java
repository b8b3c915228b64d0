package dev.nutmegdoor.node.entry;

import java.util.Locale;

/**
 * Format of the delay in the header {@code Retry-After}.
 */
public enum RetryAfterStyle {

	/** Whole seconds, rounded up, as RFC 9110 defines the header. */
	WHOLE_SECONDS {

		@Override
		String format(long milliseconds) {
			return Long.toString(HttpResponses.roundUpToSeconds(milliseconds));
		}

	},

	/**
	 * Seconds with three decimal places, for clients that support them. Rounding up to a
	 * full second would use up most of the deadline of such a client.
	 */
	FRACTIONS {

		@Override
		String format(long milliseconds) {
			return String.format(Locale.ROOT, "%.3f", milliseconds / 1_000.0);
		}

	};

	abstract String format(long milliseconds);

}
