package dev.nutmegdoor.node.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ForkJoinPool;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;

import dev.nutmegdoor.core.explain.DecisionLog;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.operator.InstanceEndpoints;
import dev.nutmegdoor.node.operator.MetricsEndpoint;
import dev.nutmegdoor.node.operator.OperatorAuthenticator;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorServer;
import dev.nutmegdoor.node.operator.StateDump;
import dev.nutmegdoor.node.operator.service.ConfigurationEndpoints;
import dev.nutmegdoor.node.operator.service.KeyEndpoints;
import dev.nutmegdoor.node.operator.service.SheetEndpoints;
import dev.nutmegdoor.node.settings.ClusterSettings;
import dev.nutmegdoor.node.sheet.SheetLoader;

/**
 * Composes the endpoints of the operator API of an instance and serves them over HTTP.
 */
final class OperatorApi implements AutoCloseable {

	private final ClusterSettings settings;

	private final OperatorServer server;

	private int port;

	OperatorApi(ClusterEntry entry, ClusterSettings settings, SharedState sharedState, ControlThread control,
			DecisionLog decisions, MetricRegistry metrics) {
		this.settings = settings;
		ObjectMapper mapper = new ObjectMapper();
		StateDump dump = new StateDump();
		Map<String, Supplier<?>> sections = entry.dumpSections();
		ClusterEntry.dumpSectionOrder().forEach((name) -> dump.register(name, sections.getOrDefault(name, Map::of)));
		List<OperatorEndpoint> endpoints = new ArrayList<>();
		endpoints.addAll(new InstanceEndpoints(sharedState.peers(), sharedState.membership(), decisions,
				DecisionFunctions.verifier(), dump, entry::startDrain, mapper)
			.endpoints());
		endpoints.addAll(new KeyEndpoints(sharedState.keys()).endpoints());
		endpoints.addAll(
				new CallEndpoints(entry.homes(), sharedState.peers(), sharedState.membership(), mapper).endpoints());
		endpoints
			.addAll(new ConfigurationEndpoints(sharedState.configuration(), sharedState.fleetVersions()).endpoints());
		endpoints.addAll(new SheetEndpoints(
				new SheetLoader(sharedState.configuration(), control, SheetLoader.DEFAULT_MAX_DROPPED_SHARE),
				ForkJoinPool.commonPool())
			.endpoints());
		endpoints.add(new MetricsEndpoint(metrics).endpoint());
		this.server = new OperatorServer(new OperatorAuthenticator(settings.operators()), control, mapper, endpoints);
	}

	void start() {
		this.port = this.server.start(this.settings.operator().host(), this.settings.operator().port());
	}

	int port() {
		return this.port;
	}

	@Override
	public void close() {
		this.server.close();
	}

}
