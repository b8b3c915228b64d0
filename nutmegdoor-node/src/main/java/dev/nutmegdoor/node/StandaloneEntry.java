package dev.nutmegdoor.node;

import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;

import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.direct.ConfiguredKeyAuthenticator;
import dev.nutmegdoor.node.direct.DirectCallRunner;
import dev.nutmegdoor.node.direct.LocalPrograms;
import dev.nutmegdoor.node.direct.LocalRateLimiter;
import dev.nutmegdoor.node.direct.OnceCallRunner;
import dev.nutmegdoor.node.direct.StaticConfigurationView;
import dev.nutmegdoor.node.entry.EntryDependencies;
import dev.nutmegdoor.node.settings.EntrySettings;
import dev.nutmegdoor.node.upstream.HttpEngineClient;
import dev.nutmegdoor.node.upstream.HttpServiceClient;
import dev.nutmegdoor.node.upstream.KeyScanner;
import dev.nutmegdoor.node.upstream.OutgoingCheck;
import dev.nutmegdoor.node.upstream.UpstreamHttp;

/**
 * Composes an entry instance that shares nothing with other instances: configuration from
 * its settings, a fixed part of each rate, programs in its own memory.
 *
 * @param node the instance
 * @param configuration configuration in force, to be replaced at run time
 * @param authenticator keys, to be withdrawn at run time
 * @param timers control thread
 */
public record StandaloneEntry(EntryNode node, StaticConfigurationView configuration,
		ConfiguredKeyAuthenticator authenticator, ControlThread timers) {

	/**
	 * Composes an instance.
	 * @param settings settings of the instance
	 * @param instanceCount number of instances among which the rates are divided
	 * @param invariants registry of checks
	 * @param eventLog log of events
	 * @return the instance, not started
	 */
	public static StandaloneEntry create(EntrySettings settings, int instanceCount, InvariantRegistry invariants,
			EventLog eventLog) {
		ControlThread timers = new ControlThread("control-" + settings.instance());
		StaticConfigurationView configuration = new StaticConfigurationView(settings.configuration(), invariants);
		ConfiguredKeyAuthenticator authenticator = new ConfiguredKeyAuthenticator(configuration);
		KeyScanner keyScanner = new KeyScanner(authenticator);
		UpstreamHttp http = new UpstreamHttp(timers, settings.maxConnectionsPerUpstream(),
				settings.timeouts().connectMs(), settings.limits().maxStreamBytes());
		OutgoingCheck outgoingCheck = new OutgoingCheck(keyScanner, configuration, invariants, timers);
		EngineClient engines = new HttpEngineClient(http, outgoingCheck, settings.timeouts().callMs());
		ServiceClient services = new HttpServiceClient(http, outgoingCheck);
		CallRunner direct = new DirectCallRunner(configuration, settings.availabilityZone(), engines, services, timers);
		CallRunner once = new OnceCallRunner(direct, configuration, timers, invariants);
		LocalPrograms programs = new LocalPrograms(once, configuration, settings.availabilityZone(), engines, timers,
				invariants);
		EntryDependencies dependencies = new EntryDependencies(timers, configuration, authenticator, keyScanner,
				new LocalRateLimiter(configuration, timers, instanceCount), programs, programs,
				new DecisionIds(settings.instance()), DecisionRecorder.NONE, invariants, new MetricRegistry(),
				eventLog);
		EntryNode node = new EntryNode(settings, dependencies, () -> CompletableFuture.completedFuture(null), () -> {
			http.close();
			timers.close();
		});
		return new StandaloneEntry(node, configuration, authenticator, timers);
	}

}
