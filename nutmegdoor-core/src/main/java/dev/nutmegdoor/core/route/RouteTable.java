package dev.nutmegdoor.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * One immutable version of the operators' configuration: routes, services, workspaces and
 * API keys.
 */
public final class RouteTable {

	/**
	 * Key in the work priorities of a workspace under which a priority overrides those of
	 * all routes.
	 */
	public static final String ANY_ROUTE = "*";

	private final long version;

	private final Map<String, List<ServiceRoute>> routesByHost;

	private final Map<String, RoutedService> services;

	private final Map<WorkspaceId, Workspace> workspaces;

	private final Map<String, WorkspaceId> workspacesByKey;

	private final RequestLimits limits;

	/**
	 * Creates a version of the configuration.
	 * @param version version number; higher is newer
	 * @param routes all routes
	 * @param services all services
	 * @param workspaces workspaces with their rate limits; empty if requests need no API
	 * key
	 * @param workspacesByKey identifier of the workspace by API key
	 * @param limits limits of client requests
	 */
	public RouteTable(long version, List<ServiceRoute> routes, List<RoutedService> services, List<Workspace> workspaces,
			Map<String, WorkspaceId> workspacesByKey, RequestLimits limits) {
		this.version = version;
		this.routesByHost = new HashMap<>();
		for (ServiceRoute route : routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<ServiceRoute> byPrefixLength = Comparator.comparingInt((route) -> route.prefix().length());
		this.routesByHost.values().forEach((hostRoutes) -> hostRoutes.sort(byPrefixLength.reversed()));
		this.services = new HashMap<>();
		services.forEach((service) -> this.services.put(service.name(), service));
		this.workspaces = new HashMap<>();
		workspaces.forEach((workspace) -> this.workspaces.put(workspace.id(), workspace));
		this.workspacesByKey = Map.copyOf(workspacesByKey);
		this.limits = limits;
	}

	public long version() {
		return this.version;
	}

	/**
	 * Returns the route of a request: the one with the longest matching prefix among the
	 * routes of its host.
	 * @param host value of the request's Host header, with or without a port
	 * @param path path of the request without its query
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable ServiceRoute routeOf(String host, String path) {
		int portSeparator = host.lastIndexOf(':');
		String hostName = ((portSeparator > host.lastIndexOf(']')) ? host.substring(0, portSeparator) : host)
			.toLowerCase(Locale.ROOT);
		for (ServiceRoute route : this.routesByHost.getOrDefault(hostName, List.of())) {
			if (path.startsWith(route.prefix())) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Returns the workspace that an API key belongs to.
	 * @param key key as the client sent it
	 * @return the workspace, or {@code null} if this version doesn't contain the key
	 */
	public @Nullable WorkspaceId workspaceOf(String key) {
		return this.workspacesByKey.get(key);
	}

	/**
	 * Returns whether requests need an API key.
	 * @return {@code false} if the configuration has no workspaces
	 */
	public boolean isKeyRequired() {
		return !this.workspaces.isEmpty();
	}

	/**
	 * Returns the priority of a request.
	 * @param route route of the request
	 * @param workspaceId workspace of the request, or {@code null} if it is unknown
	 * @return priority; 0 is the most urgent
	 */
	public int priorityOf(ServiceRoute route, @Nullable WorkspaceId workspaceId) {
		Workspace workspace = (workspaceId != null) ? this.workspaces.get(workspaceId) : null;
		return (workspace != null) ? workspace.workPriorities().getOrDefault(ANY_ROUTE, route.priority())
				: route.priority();
	}

	/**
	 * Returns whether a route carries turns of programs, which need the token ledger.
	 * @return {@code true} if one of the routes keeps token budgets
	 */
	public boolean hasProgramRoutes() {
		return this.routesByHost.values()
			.stream()
			.flatMap(List::stream)
			.anyMatch((route) -> route.kind().isStream() && route.retentionMs() > 0);
	}

	public @Nullable RoutedService service(String name) {
		return this.services.get(name);
	}

	public Map<WorkspaceId, Workspace> workspaces() {
		return Map.copyOf(this.workspaces);
	}

	public RequestLimits limits() {
		return this.limits;
	}

	public int routes() {
		return this.routesByHost.values().stream().mapToInt(List::size).sum();
	}

}
