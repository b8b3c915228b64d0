package dev.nutmegdoor.experiment.scheduling;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.ServiceResponse;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Client of a deployment without plain services.
 */
final class RejectingServiceClient implements ServiceClient {

	@Override
	public CompletableFuture<ServiceResponse> call(Upstream upstream, ServiceCall call, long timeoutMs) {
		return CompletableFuture.failedFuture(new UpstreamException(RunState.NOT_RUN, "no services"));
	}

	@Override
	public CompletableFuture<ServiceResponse> query(Upstream upstream, ServiceCall call, long timeoutMs) {
		return CompletableFuture.failedFuture(new UpstreamException(RunState.NOT_RUN, "no services"));
	}

}
