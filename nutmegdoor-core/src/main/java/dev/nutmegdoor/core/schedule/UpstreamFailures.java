package dev.nutmegdoor.core.schedule;

import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Extracts the run state and the message from the failure of an upstream call's future.
 */
final class UpstreamFailures {

	private UpstreamFailures() {
	}

	static RunState runStateOf(@Nullable Throwable failure) {
		return (unwrap(failure) instanceof UpstreamException ex) ? ex.run() : RunState.UNKNOWN;
	}

	static String messageOf(@Nullable Throwable failure) {
		Throwable cause = unwrap(failure);
		String message = (cause != null) ? cause.getMessage() : null;
		return (message != null) ? message : "upstream failed";
	}

	private static @Nullable Throwable unwrap(@Nullable Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

}
