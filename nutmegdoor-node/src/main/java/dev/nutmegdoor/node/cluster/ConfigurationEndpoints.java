package dev.nutmegdoor.node.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationChangeResult;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;
import dev.nutmegdoor.node.sheet.SheetLoader;
import dev.nutmegdoor.node.sheet.SheetOutcome;
import dev.nutmegdoor.node.sheet.SheetPlan;
import dev.nutmegdoor.node.sheet.SheetResult;

/**
 * Operations on the configuration: workspaces, upstreams, versions and sheets.
 */
final class ConfigurationEndpoints {

	private static final int HISTORY_LIMIT = 50;

	private static final long DEFAULT_WAIT_MS = 10_000;

	private static final long MAX_WAIT_MS = 60_000;

	private final ConfigurationController configuration;

	private final SheetLoader sheets;

	ConfigurationEndpoints(ConfigurationController configuration, Executor control) {
		this.configuration = configuration;
		this.sheets = new SheetLoader(configuration, control, SheetLoader.DEFAULT_MAX_DROPPED_SHARE);
	}

	List<OperatorEndpoint> endpoints() {
		return List.of(OperatorEndpoint.get("/operator/v1/workspaces", (request) -> workspaces()),
				OperatorEndpoint.get("/operator/v1/workspaces/{id}", this::workspace),
				OperatorEndpoint.get("/operator/v1/upstreams", (request) -> upstreams()),
				OperatorEndpoint.post("/operator/v1/upstreams/{id}/drain", this::drainUpstream),
				OperatorEndpoint.get("/operator/v1/config",
						(request) -> CompletableFuture.completedFuture(this.configuration.dump())),
				OperatorEndpoint.get("/operator/v1/config/history",
						(request) -> this.configuration.history(HISTORY_LIMIT)),
				OperatorEndpoint.get("/operator/v1/config/wait", this::awaitVersion),
				OperatorEndpoint.post("/operator/v1/sheet", this::sheet));
	}

	private CompletableFuture<?> workspaces() {
		List<Workspace> found = new ArrayList<>(this.configuration.current().workspaces().values());
		found.sort(Comparator.comparing(Workspace::id));
		return CompletableFuture.completedFuture(found);
	}

	private CompletableFuture<?> workspace(OperatorRequest request) {
		WorkspaceId id = new WorkspaceId(request.path("id"));
		Configuration current = this.configuration.current();
		Workspace workspace = current.workspaces().get(id);
		if (workspace == null) {
			throw new OperatorException(404, "not-found", "there is no workspace " + id);
		}
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("workspace", workspace);
		row.put("keys",
				current.keys()
					.values()
					.stream()
					.filter((key) -> key.workspace().equals(id))
					.map((key) -> key.id().value())
					.sorted()
					.toList());
		row.put("version", current.version());
		return CompletableFuture.completedFuture(row);
	}

	private CompletableFuture<?> upstreams() {
		List<Upstream> found = new ArrayList<>(this.configuration.current().upstreams().values());
		found.sort(Comparator.comparing(Upstream::id));
		return CompletableFuture.completedFuture(found);
	}

	private CompletableFuture<?> drainUpstream(OperatorRequest request) {
		UpstreamId id = new UpstreamId(request.path("id"));
		if (!this.configuration.current().upstreams().containsKey(id)) {
			throw new OperatorException(404, "not-found", "there is no upstream " + id);
		}
		ConfigurationEdit edit = ConfigurationEdit.merge(ConfigurationSection.UPSTREAMS, id.value(),
				Map.of("isLeaving", true));
		return this.configuration
			.change(new ConfigurationChange(request.operator(), "drain upstream " + id, null, List.of(edit)))
			.thenApply(ConfigurationEndpoints::describe);
	}

	private CompletableFuture<?> awaitVersion(OperatorRequest request) {
		String version = request.query("version");
		String timeout = request.query("timeoutMs");
		if (version == null) {
			throw new OperatorException(400, "malformed-request", "the query parameter version is missing");
		}
		long wanted = Long.parseLong(version);
		long timeoutMs = (timeout != null) ? Long.parseLong(timeout) : DEFAULT_WAIT_MS;
		return this.configuration.awaitVersion(wanted, Math.min(MAX_WAIT_MS, Math.max(1, timeoutMs)))
			.thenApply((inForce) -> Map.of("version", inForce, "isFailed", inForce < wanted));
	}

	private CompletableFuture<?> sheet(OperatorRequest request) {
		String mode = String.valueOf(request.query("mode"));
		boolean isDryRun = !mode.equals("load");
		if (isDryRun && !mode.equals("check") && !mode.equals("diff")) {
			throw new OperatorException(400, "malformed-request", "mode must be check, diff or load but is " + mode);
		}
		return this.sheets.load(request.body(), request.operator(), request.hasFlag("force"), isDryRun)
			.thenApply((result) -> describe(result, mode));
	}

	private static Map<String, Object> describe(SheetResult result, String mode) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("outcome", result.outcome());
		row.put("errors", result.errors());
		SheetPlan plan = result.plan();
		if (plan != null) {
			row.put("date", plan.date());
			row.put("concerns", plan.concerns());
			if (mode.equals("check")) {
				row.put("counts", Map.of("added", plan.added().size(), "changed", plan.changed().size(), "dropped",
						plan.dropped().size()));
			}
			else {
				row.put("added", plan.added());
				row.put("changed", plan.changed());
				row.put("dropped", plan.dropped());
			}
		}
		ConfigurationChangeResult change = result.change();
		if (change != null) {
			row.put("change", describe(change));
		}
		SheetOutcome outcome = result.outcome();
		row.put("isFailed", outcome == SheetOutcome.INVALID || outcome == SheetOutcome.NOT_ACCEPTED
				|| (outcome == SheetOutcome.NEEDS_FORCE && mode.equals("load")));
		return row;
	}

	private static Map<String, Object> describe(ConfigurationChangeResult result) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("outcome", result.outcome());
		row.put("version", result.version());
		row.put("errors", result.errors());
		row.put("differences", result.differences());
		row.put("isFailed", !result.outcome().isInForce());
		return row;
	}

}
