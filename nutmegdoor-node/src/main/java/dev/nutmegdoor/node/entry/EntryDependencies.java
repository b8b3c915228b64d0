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
 * Dependencies of the entry server.
 *
 * @param timers timers of the control thread
 * @param configuration view of the active configuration
 * @param authenticator authenticates clients by their API keys
 * @param keyScanner finds keys in request bodies
 * @param rateLimiter admits requests within the rate of their workspace
 * @param callRunner runs calls on upstreams
 * @param programs opens and closes programs
 * @param decisionIds issues decision identifiers
 * @param decisionRecorder receives the decisions of the filter chain
 * @param invariants counts checks and violations
 * @param metrics registry for the metrics of requests
 * @param eventLog receives refusals, failures and changes of state
 */
public record EntryDependencies(TimerService timers, ConfigurationView configuration, KeyAuthenticator authenticator,
		KeyScanner keyScanner, RateLimiter rateLimiter, CallRunner callRunner, ProgramGateway programs,
		DecisionIds decisionIds, DecisionRecorder decisionRecorder, InvariantRegistry invariants,
		MetricRegistry metrics, EventLog eventLog) {

}
