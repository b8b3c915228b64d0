package dev.nutmegdoor.node.entry;

import com.codahale.metrics.MetricRegistry;

import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.key.KeyAuthenticator;
import dev.nutmegdoor.core.limit.RateLimiter;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.node.upstream.KeyScanner;

/**
 * What the entry server needs to run requests.
 *
 * @param timers control thread
 * @param configuration configuration in force
 * @param authenticator authenticates callers
 * @param keyScanner finds keys in bodies
 * @param rateLimiter admits requests
 * @param callRunner runs calls
 * @param programs opens and closes programs
 * @param decisionIds issues decision identifiers
 * @param decisionRecorder receives the decisions of the filter chain
 * @param invariants registry of checks
 * @param metrics registry of metrics
 * @param eventLog log of events
 */
public record EntryDependencies(TimerService timers, ConfigurationView configuration, KeyAuthenticator authenticator,
		KeyScanner keyScanner, RateLimiter rateLimiter, CallRunner callRunner, ProgramGateway programs,
		DecisionIds decisionIds, DecisionRecorder decisionRecorder, InvariantRegistry invariants,
		MetricRegistry metrics, EventLog eventLog) {

}
