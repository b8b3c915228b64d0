package dev.nutmegdoor.node.upstream;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpMethod;
import org.jboss.logging.Logger;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.placement.CacheEvent;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Fetches load reports and cache events of all engines periodically. An engine that does
 * not answer is asked again only after its answer or timeout. Used on the control thread.
 */
public final class ReportPoller {

	private static final Logger logger = Logger.getLogger(ReportPoller.class);

	private static final long TIMEOUT_MS = 1_000;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final UpstreamHttp http;

	private final ConfigurationView configuration;

	private final ReportListener listener;

	private final ToLongFunction<UpstreamId> lastEventSequence;

	private final Set<UpstreamId> pending = new HashSet<>();

	/**
	 * Creates the poller.
	 * @param http connections to upstreams
	 * @param configuration names the engines
	 * @param listener receives reports and events
	 * @param lastEventSequence returns the last cache event known of an engine
	 */
	public ReportPoller(UpstreamHttp http, ConfigurationView configuration, ReportListener listener,
			ToLongFunction<UpstreamId> lastEventSequence) {
		this.http = http;
		this.configuration = configuration;
		this.listener = listener;
		this.lastEventSequence = lastEventSequence;
	}

	/**
	 * Starts polling.
	 * @param timers control thread
	 * @param periodMs time between two reports of an engine in milliseconds
	 * @return handle that ends polling
	 */
	public Subscription start(TimerService timers, long periodMs) {
		return timers.subscribe(periodMs, this::poll);
	}

	private void poll() {
		for (Upstream upstream : this.configuration.current().upstreams().values()) {
			if (upstream.kind() == UpstreamKind.MODEL_ENGINE && this.pending.add(upstream.id())) {
				poll(upstream);
			}
		}
	}

	private void poll(Upstream upstream) {
		String after = "{\"afterSequence\":" + this.lastEventSequence.applyAsLong(upstream.id()) + "}";
		this.http.exchange(upstream, HttpMethod.GET, "/v1/load", Map.of(), null, TIMEOUT_MS).thenCompose((answer) -> {
			this.listener.reportReceived(upstream.id(), parse(answer.body(), new TypeReference<LoadReport>() {
			}));
			return this.http.exchange(upstream, HttpMethod.POST, "/v1/events", Map.of(), after, TIMEOUT_MS);
		})
			.thenAccept((answer) -> this.listener.eventsReceived(upstream.id(),
					parse(answer.body(), new TypeReference<List<CacheEvent>>() {
					})))
			.whenComplete((value, error) -> {
				this.pending.remove(upstream.id());
				if (error != null) {
					logger.debugf("event=report.failed upstream=%s error=\"%s\"", upstream.id(), error);
				}
			});
	}

	private static <T> T parse(String body, TypeReference<T> type) {
		try {
			return MAPPER.readValue(body, type);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("report is not JSON", ex);
		}
	}

}
