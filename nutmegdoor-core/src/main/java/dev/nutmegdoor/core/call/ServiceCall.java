package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

/**
 * Requests a service to run an operation.
 *
 * @param service name of the service
 * @param operation name of the operation
 * @param body JSON body
 * @param idempotencyKey key under which the operation runs at most once, or {@code null}
 */
public record ServiceCall(String service, String operation, String body,
		@Nullable String idempotencyKey) implements CallPayload {

}
