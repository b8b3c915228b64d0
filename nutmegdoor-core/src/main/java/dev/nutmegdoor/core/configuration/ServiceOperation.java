package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.call.Repeatability;

/**
 * An operation of a plain service.
 *
 * @param service name of the service
 * @param operation name of the operation
 * @param repeatability whether a call of the operation may be retried
 * @param isQueryable whether the service reports the outcome of an earlier call by its
 * idempotency key
 */
public record ServiceOperation(String service, String operation, Repeatability repeatability, boolean isQueryable) {

	/**
	 * Returns the name under which configurations list the operation.
	 * @return {@code <service>/<operation>}
	 */
	public String qualifiedName() {
		return this.service + "/" + this.operation;
	}

}
