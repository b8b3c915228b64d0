package dev.nutmegdoor.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.placement.BlockPromptHasher;
import dev.nutmegdoor.core.placement.CacheEvent;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.schedule.Observers;
import dev.nutmegdoor.core.schedule.ProgramSchedulingInfoSource;
import dev.nutmegdoor.core.schedule.ScheduleSettings;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.core.schedule.UpstreamClients;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.direct.AtMostOnceCallRunner;
import dev.nutmegdoor.node.direct.ConfiguredKeyAuthenticator;
import dev.nutmegdoor.node.direct.LocalPrograms;
import dev.nutmegdoor.node.direct.LocalRateLimiter;
import dev.nutmegdoor.node.direct.StaticConfigurationView;
import dev.nutmegdoor.node.entry.EntryDependencies;
import dev.nutmegdoor.node.settings.EntrySettings;
import dev.nutmegdoor.node.upstream.HttpEngineClient;
import dev.nutmegdoor.node.upstream.HttpServiceClient;
import dev.nutmegdoor.node.upstream.KeyScanner;
import dev.nutmegdoor.node.upstream.OutboundRequestCheck;
import dev.nutmegdoor.node.upstream.ReportListener;
import dev.nutmegdoor.node.upstream.ReportPoller;
import dev.nutmegdoor.node.upstream.UpstreamHttp;

/**
 * Composes an entry instance that shares no state with other instances: it takes its
 * configuration from its settings, has a fixed share of each rate and keeps programs in
 * memory.
 *
 * @param node instance to start and stop
 * @param configuration active configuration, which can be replaced at run time
 * @param authenticator authenticator, on which keys can be withdrawn at run time
 * @param timers control thread of the instance
 */
public record StandaloneEntry(EntryNode node, StaticConfigurationView configuration,
		ConfiguredKeyAuthenticator authenticator, ControlThread timers) {

	/** Round trip between zones in milliseconds (design, section 1.4). */
	private static final double ZONE_CROSSING_MS = 4;

	/** Period of the load measurement of engines. */
	private static final long REPORT_PERIOD_MS = 250;

	/**
	 * Composes an instance.
	 * @param settings settings of the instance
	 * @param instanceCount number of instances among which the rates are divided
	 * @param invariants counts checks and violations
	 * @param eventLog receives the events of the entry server
	 * @return instance that has not been started
	 */
	public static StandaloneEntry create(EntrySettings settings, int instanceCount, InvariantRegistry invariants,
			EventLog eventLog) {
		ControlThread timers = new ControlThread("control-" + settings.instance());
		StaticConfigurationView configuration = new StaticConfigurationView(settings.configuration(), invariants);
		ConfiguredKeyAuthenticator authenticator = new ConfiguredKeyAuthenticator(configuration);
		KeyScanner keyScanner = new KeyScanner(authenticator);
		UpstreamHttp http = new UpstreamHttp(timers, settings.maxConnectionsPerUpstream(),
				settings.timeouts().connectMs(), settings.limits().maxStreamBytes());
		OutboundRequestCheck outboundCheck = new OutboundRequestCheck(keyScanner, configuration, invariants, timers);
		EngineClient engines = new HttpEngineClient(http, outboundCheck, settings.timeouts().callMs());
		ServiceClient services = new HttpServiceClient(http, outboundCheck);
		ScheduledCallRunner scheduler = scheduler(settings, instanceCount, configuration, engines, services, timers,
				invariants);
		startReports(scheduler, http, configuration, timers);
		CallRunner atMostOnce = new AtMostOnceCallRunner(scheduler, configuration, timers, invariants);
		LocalPrograms programs = new LocalPrograms(atMostOnce, configuration, settings.availabilityZone(), engines,
				timers, invariants, scheduler::programEnded);
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

	private static ScheduledCallRunner scheduler(EntrySettings settings, int instanceCount,
			ConfigurationView configuration, EngineClient engines, ServiceClient services, TimerService timers,
			InvariantRegistry invariants) {
		ReplicaIndex index = new ReplicaIndex(settings.availabilityZone(), ZONE_CROSSING_MS, PlacementCosts.DEFAULT,
				timers, RandomSource.XO_RO_SHI_RO_128_PP.create(settings.instance().hashCode()), EventLog.NONE);
		index.setInstances(instanceCount);
		return new ScheduledCallRunner(ScheduleSettings.DEFAULT, PlacementCosts.DEFAULT, index, timers, configuration,
				new UpstreamClients(engines, services, new BlockPromptHasher()), ProgramSchedulingInfoSource.NONE,
				new Observers(DecisionRecorder.NONE, invariants, StepListener.NONE));
	}

	private static void startReports(ScheduledCallRunner scheduler, UpstreamHttp http, ConfigurationView configuration,
			TimerService timers) {
		Map<UpstreamId, Long> lastEventSequences = new HashMap<>();
		ReportListener listener = new ReportListener() {

			@Override
			public void reportReceived(UpstreamId upstream, LoadReport report) {
				scheduler.reportReceived(upstream, report);
			}

			@Override
			public void eventsReceived(UpstreamId upstream, List<CacheEvent> events) {
				scheduler.eventsReceived(upstream, events);
				events.forEach((event) -> lastEventSequences.put(upstream, event.sequence()));
			}

		};
		new ReportPoller(http, configuration, listener, (id) -> lastEventSequences.getOrDefault(id, 0L)).start(timers,
				REPORT_PERIOD_MS);
	}

}
