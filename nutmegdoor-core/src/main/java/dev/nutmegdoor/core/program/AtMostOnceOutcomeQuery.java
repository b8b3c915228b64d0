package dev.nutmegdoor.core.program;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.ServiceResponse;

/**
 * Queries a service for the outcome of an interrupted operation, if the configuration
 * declares the operation as queryable.
 */
final class AtMostOnceOutcomeQuery {

	private static final long QUERY_TIMEOUT_MS = 2_000;

	private final ProgramDependencies dependencies;

	private final ServiceClient services;

	AtMostOnceOutcomeQuery(ProgramDependencies dependencies, ServiceClient services) {
		this.dependencies = dependencies;
		this.services = services;
	}

	/**
	 * Queries the outcome of an operation by its idempotency key.
	 * @param call the operation
	 * @return completes with the outcome, which is unknown if the operation can't be
	 * queried, the query fails or the service responds with a status of 500 or more;
	 * never fails
	 */
	CompletableFuture<AtMostOnceOutcome> queryOutcome(ServiceCall call) {
		Configuration configuration = this.dependencies.configuration().current();
		ServiceOperation operation = configuration.operations().get(call.service() + "/" + call.operation());
		Upstream upstream = configuration.upstreams()
			.values()
			.stream()
			.filter((candidate) -> candidate.kind() == UpstreamKind.SERVICE
					&& candidate.serves().contains(call.service()))
			.min(Comparator.comparing(Upstream::id))
			.orElse(null);
		if (operation == null || !operation.isQueryable() || call.idempotencyKey() == null || upstream == null) {
			return CompletableFuture.completedFuture(AtMostOnceOutcome.UNKNOWN);
		}
		return this.services.query(upstream, call, QUERY_TIMEOUT_MS)
			.handle((answer, error) -> (error != null) ? AtMostOnceOutcome.UNKNOWN : outcome(upstream, answer));
	}

	private static AtMostOnceOutcome outcome(Upstream upstream, ServiceResponse answer) {
		if (answer.status() == 404) {
			return new AtMostOnceOutcome(AtMostOnceState.NOT_SENT, null);
		}
		if (answer.status() >= 500) {
			return AtMostOnceOutcome.UNKNOWN;
		}
		return new AtMostOnceOutcome(AtMostOnceState.SETTLED,
				new CallResult(upstream.id(), answer.status(), answer.body(), 0, 0, 0));
	}

}
