package dev.nutmegdoor.node.operator.service;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.configuration.FleetVersion;
import dev.nutmegdoor.core.configuration.FleetVersionQuery;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;

/**
 * Operations on the configuration: workspaces, upstreams, history, and the wait for a
 * version.
 */
public final class ConfigurationEndpoints {

	private static final int DEFAULT_HISTORY = 20;

	private static final int MAX_HISTORY = 500;

	private static final long DEFAULT_WAIT_MS = 5_000;

	private static final long MAX_WAIT_MS = 60_000;

	private final ConfigurationController configuration;

	private final FleetVersionQuery fleet;

	public ConfigurationEndpoints(ConfigurationController configuration, FleetVersionQuery fleet) {
		this.configuration = configuration;
		this.fleet = fleet;
	}

	/**
	 * Returns the operations.
	 * @return endpoints of the operator API
	 */
	public List<OperatorEndpoint> endpoints() {
		return List.of(OperatorEndpoint.get("/operator/v1/workspaces", (request) -> done(workspaces())),
				OperatorEndpoint.get("/operator/v1/workspaces/{id}",
						(request) -> done(workspace(new WorkspaceId(request.path("id"))))),
				OperatorEndpoint.get("/operator/v1/upstreams", (request) -> done(upstreams())),
				OperatorEndpoint.post("/operator/v1/upstreams/{id}/drain", this::drain),
				OperatorEndpoint.get("/operator/v1/config", (request) -> done(this.configuration.dump())),
				OperatorEndpoint.get("/operator/v1/config/history", this::history),
				OperatorEndpoint.get("/operator/v1/config/wait", this::await));
	}

	private List<Workspace> workspaces() {
		return this.configuration.current()
			.workspaces()
			.values()
			.stream()
			.sorted(Comparator.comparing(Workspace::id))
			.toList();
	}

	private Workspace workspace(WorkspaceId id) {
		Workspace workspace = this.configuration.current().workspaces().get(id);
		if (workspace == null) {
			throw new OperatorException(404, "not-found", "workspace " + id + " is not configured");
		}
		return workspace;
	}

	private List<Upstream> upstreams() {
		return this.configuration.current()
			.upstreams()
			.values()
			.stream()
			.sorted(Comparator.comparing(Upstream::id))
			.toList();
	}

	private CompletableFuture<ChangeAnswer> drain(OperatorRequest request) {
		UpstreamId id = new UpstreamId(request.path("id"));
		if (!this.configuration.current().upstreams().containsKey(id)) {
			throw new OperatorException(404, "not-found", "upstream " + id + " is not configured");
		}
		ConfigurationEdit edit = ConfigurationEdit.merge(ConfigurationSection.UPSTREAMS, id.value(),
				Map.of("isLeaving", true));
		ConfigurationChange change = new ConfigurationChange(request.operator(), "drain upstream " + id, null,
				List.of(edit));
		return this.configuration.change(change).thenApply(ChangeAnswer::of);
	}

	private CompletableFuture<?> history(OperatorRequest request) {
		return this.configuration.history((int) number(request, "limit", DEFAULT_HISTORY, MAX_HISTORY));
	}

	private CompletableFuture<FleetVersion> await(OperatorRequest request) {
		long version = number(request, "version", this.configuration.version(), Long.MAX_VALUE);
		return this.fleet.await(version, number(request, "timeoutMs", DEFAULT_WAIT_MS, MAX_WAIT_MS));
	}

	private static long number(OperatorRequest request, String name, long defaultValue, long max) {
		String text = request.query(name);
		if (text == null) {
			return defaultValue;
		}
		try {
			long value = Long.parseLong(text);
			if (value >= 0 && value <= max) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		throw new OperatorException(400, "malformed-request",
				name + ": expected a whole number from 0 to " + max + " but found '" + text + "'");
	}

	private static <T> CompletableFuture<T> done(T value) {
		return CompletableFuture.completedFuture(value);
	}

}
