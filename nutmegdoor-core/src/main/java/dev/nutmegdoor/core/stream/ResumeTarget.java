package dev.nutmegdoor.core.stream;

import org.jspecify.annotations.Nullable;

/**
 * Where a stream that a client takes up may go on.
 *
 * @param isKnown whether it is known; if not, the stream must not go on anywhere
 * @param origin the only replicas at which the stream may go on, or {@code null} if it
 * may go on at any
 */
public record ResumeTarget(boolean isKnown, @Nullable StreamOrigin origin) {

	static final ResumeTarget ANY = new ResumeTarget(true, null);

	static final ResumeTarget UNKNOWN = new ResumeTarget(false, null);

	static ResumeTarget of(StreamOrigin origin) {
		return new ResumeTarget(true, origin);
	}

}
