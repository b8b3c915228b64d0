package dev.nutmegdoor.core.upstream;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Upstream;

/**
 * Port to plain services. Futures fail with {@link UpstreamException} and complete on the
 * control thread.
 */
public interface ServiceClient {

	/**
	 * Runs an operation.
	 * @param upstream replica of the service
	 * @param call the operation
	 * @param timeoutMs longest wait in milliseconds
	 * @return the service's answer, whatever its status
	 */
	CompletableFuture<ServiceResponse> call(Upstream upstream, ServiceCall call, long timeoutMs);

	/**
	 * Asks for the outcome of an earlier call.
	 * @param upstream replica of the service
	 * @param call the earlier call, with its idempotency key
	 * @param timeoutMs longest wait in milliseconds
	 * @return the answer of the earlier call; status 404 if the service never ran it and
	 * never will
	 */
	CompletableFuture<ServiceResponse> query(Upstream upstream, ServiceCall call, long timeoutMs);

}
