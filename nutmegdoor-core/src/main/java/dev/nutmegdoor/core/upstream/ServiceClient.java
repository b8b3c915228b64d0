package dev.nutmegdoor.core.upstream;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Upstream;

/**
 * Client of plain services. The returned futures complete on the control thread and fail
 * with {@link UpstreamException}.
 */
public interface ServiceClient {

	/**
	 * Runs an operation.
	 * @param upstream replica that runs the operation
	 * @param call operation with its arguments
	 * @param timeoutMs maximum wait in milliseconds
	 * @return completes with the response, regardless of its status
	 */
	CompletableFuture<ServiceResponse> call(Upstream upstream, ServiceCall call, long timeoutMs);

	/**
	 * Queries the outcome of an earlier call.
	 * @param upstream replica to query
	 * @param call the earlier call, with its idempotency key
	 * @param timeoutMs maximum wait in milliseconds
	 * @return completes with the response of the earlier call, or with status 404 if the
	 * service has not run it and never will
	 */
	CompletableFuture<ServiceResponse> query(Upstream upstream, ServiceCall call, long timeoutMs);

}
