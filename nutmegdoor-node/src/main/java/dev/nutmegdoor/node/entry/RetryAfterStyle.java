package dev.nutmegdoor.node.entry;

import java.util.Locale;

/**
 * Form of the time in {@code Retry-After}.
 */
public enum RetryAfterStyle {

	/** Whole seconds, as RFC 9110 has it. */
	WHOLE_SECONDS {

		@Override
		String format(long milliseconds) {
			return Long.toString(HttpResponses.seconds(milliseconds));
		}

	},

	/**
	 * Seconds with a fraction, for clients that understand them: rounding up to a second
	 * would cost a client most of the time that it has.
	 */
	FRACTIONS {

		@Override
		String format(long milliseconds) {
			return String.format(Locale.ROOT, "%.3f", milliseconds / 1_000.0);
		}

	};

	abstract String format(long milliseconds);

}
