package dev.nutmegdoor.node.cluster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.key.KeyController;
import dev.nutmegdoor.core.key.KeyStatus;
import dev.nutmegdoor.core.key.WithdrawalResult;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;

/**
 * Operations on callers' keys.
 */
final class KeyEndpoints {

	private final KeyController keys;

	KeyEndpoints(KeyController keys) {
		this.keys = keys;
	}

	List<OperatorEndpoint> endpoints() {
		return List.of(OperatorEndpoint.get("/operator/v1/keys", this::list),
				OperatorEndpoint.post("/operator/v1/keys", this::issue),
				OperatorEndpoint.post("/operator/v1/keys/{id}/withdraw", this::withdraw));
	}

	private CompletableFuture<?> list(OperatorRequest request) {
		String workspace = request.query("workspace");
		List<KeyStatus> found = this.keys.list((workspace != null) ? new WorkspaceId(workspace) : null);
		return CompletableFuture.completedFuture(found.stream().map(KeyEndpoints::describe).toList());
	}

	private CompletableFuture<?> issue(OperatorRequest request) {
		String workspace = request.query("workspace");
		if (workspace == null) {
			throw new OperatorException(400, "malformed-request", "the query parameter workspace is missing");
		}
		return this.keys.issue(new WorkspaceId(workspace), request.operator()).thenApply((issued) -> {
			if (issued.key() == null) {
				throw new OperatorException(409, "change-refused", "no key was issued: " + issued.change());
			}
			return Map.of("id", issued.id(), "key", issued.key(), "version", issued.change().version());
		});
	}

	private CompletableFuture<?> withdraw(OperatorRequest request) {
		return this.keys.withdraw(new KeyId(request.path("id")), request.operator(), "operator request")
			.thenApply(KeyEndpoints::describe);
	}

	private static Map<String, Object> describe(KeyStatus status) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("id", status.id());
		row.put("workspace", status.workspace());
		row.put("withdrawn", status.withdrawal() != null);
		return row;
	}

	private static Map<String, Object> describe(WithdrawalResult result) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("key", result.key());
		row.put("isKnown", result.isKnown());
		row.put("isDurable", result.isDurable());
		row.put("isStored", result.isStored());
		row.put("confirmedInstances", result.confirmedInstances());
		row.put("confirmedZones", result.confirmedZones());
		Map<String, Object> incomplete = new LinkedHashMap<>();
		result.incompleteZones().forEach((zone, instances) -> incomplete.put(zone.value(), instances));
		row.put("incompleteZones", incomplete);
		row.put("unreachableZones", result.unreachableZones());
		row.put("isFailed", !result.isDurable());
		return row;
	}

}
