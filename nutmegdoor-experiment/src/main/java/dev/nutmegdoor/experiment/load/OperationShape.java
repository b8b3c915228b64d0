package dev.nutmegdoor.experiment.load;

import dev.nutmegdoor.core.call.Repeatability;

/**
 * A service operation that callers use.
 *
 * @param service name of the service
 * @param operation name of the operation
 * @param workKind kind of work that callers name
 * @param repeatability whether it may be repeated
 */
public record OperationShape(String service, String operation, String workKind, Repeatability repeatability) {

	boolean isAtMostOnce() {
		return !this.repeatability.isRetryable();
	}

}
