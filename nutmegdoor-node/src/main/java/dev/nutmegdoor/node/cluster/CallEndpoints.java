package dev.nutmegdoor.node.cluster;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.program.ProgramHomes;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;

/**
 * Operations on calls whose outcome is unknown, for the homes of this instance.
 */
final class CallEndpoints {

	private final ProgramHomes homes;

	private final ObjectMapper mapper;

	CallEndpoints(ProgramHomes homes, ObjectMapper mapper) {
		this.homes = homes;
		this.mapper = mapper;
	}

	List<OperatorEndpoint> endpoints() {
		return List.of(
				OperatorEndpoint.get("/operator/v1/calls/unresolved",
						(request) -> CompletableFuture.completedFuture(this.homes.unresolved())),
				OperatorEndpoint.post("/operator/v1/calls/resolve", this::resolve));
	}

	private CompletableFuture<?> resolve(OperatorRequest request) {
		String log = request.query("log");
		String key = request.query("key");
		if (log == null || key == null) {
			throw new OperatorException(400, "malformed-request", "the query parameters log and key are needed");
		}
		return this.homes.resolve(ProgramId.parse(log), key, result(request.body()), request.operator())
			.thenApply((isResolved) -> {
				if (!isResolved) {
					throw new OperatorException(409, "not-unresolved",
							"no unresolved call with this key has its home on this instance");
				}
				return Map.of("log", log, "key", key, "state", "resolved");
			});
	}

	private @Nullable CallResult result(String body) {
		if (body.isBlank()) {
			return null;
		}
		try {
			this.mapper.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw new OperatorException(400, "malformed-request", "the answer is not JSON: " + ex.getMessage());
		}
		return new CallResult(new UpstreamId("operator"), 200, body, 0, 0, 0);
	}

}
