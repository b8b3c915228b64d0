package dev.nutmegdoor.standin.platform;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.platform.WireNames;

/**
 * HTTP server that stands in for the platform; see {@code docs/platform-api.md}.
 */
public final class PlatformStandin implements AutoCloseable {

	private static final String KIND_PATH = "/objects/{kind}";

	private static final String OBJECT_PATH = "/objects/{kind}/{name}";

	/** Maximum objects in one page of a list, the same as on the platform. */
	private static final int PAGE_OBJECTS = 500;

	private final long startedNs = System.nanoTime();

	private final ObjectMapper mapper = new ObjectMapper();

	private final FaultSchedule faults;

	private final CallStatistics statistics = new CallStatistics();

	private final ObjectTable objects;

	private final CallInterceptor interceptor;

	private final DisposableServer server;

	private PlatformStandin(PlatformStandinSettings settings) {
		this.faults = new FaultSchedule(settings);
		this.objects = new ObjectTable(settings.keptEvents());
		this.interceptor = new CallInterceptor(settings, this.faults, this.statistics, this::elapsedMs, this.mapper);
		this.server = HttpServer.create()
			.host(settings.host())
			.port(settings.port())
			.route((routes) -> routes.get(OBJECT_PATH, this::get)
				.put(OBJECT_PATH, this::put)
				.put(OBJECT_PATH + "/status", this::putStatus)
				.delete(OBJECT_PATH, this::delete)
				.get(KIND_PATH, this::listOrWatch)
				.post(KIND_PATH, this::create)
				.get("/control/statistics", (request, response) -> this.interceptor.reply(response, statistics()))
				.post("/control/faults", this::addFault))
			.bindNow();
	}

	/**
	 * Starts a server with an empty store and waits until it is bound.
	 * @param settings address, seed, rate limits, delays and faults
	 * @return the running server
	 */
	public static PlatformStandin start(PlatformStandinSettings settings) {
		return new PlatformStandin(settings);
	}

	/**
	 * Returns the bound address, with the actual port if the settings have port 0.
	 * @return host and port of the server
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.address();
	}

	/**
	 * Injects a fault that starts immediately.
	 * @param kind kind of the fault
	 * @param durationMs duration in milliseconds, at least 1
	 * @param probability probability that the fault applies to a request, 0 to 1
	 * @param delayMs additional delay of {@link PlatformFaultKind#SLOW} in milliseconds
	 */
	public void inject(PlatformFaultKind kind, long durationMs, double probability, long delayMs) {
		long nowMs = elapsedMs();
		this.faults.add(new PlatformFault(kind, nowMs, nowMs + durationMs, probability, delayMs));
	}

	/**
	 * Creates or replaces an object as another writer does. Its value is returned to
	 * clients as it is.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @param spec JSON of any depth and with numbers of any length
	 */
	public void put(String kind, String name, String spec) {
		this.objects.createOrReplace(kind, name, JsonNodeFactory.instance.rawValueNode(new RawValue(spec)));
	}

	/**
	 * Returns counts of requests by kind and rejection status, of closed connections and
	 * of written bytes.
	 * @return a copy of the counts by name
	 */
	public Map<String, Long> statistics() {
		return this.statistics.snapshot();
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

	private long elapsedMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNs);
	}

	private Publisher<Void> get(HttpServerRequest request, HttpServerResponse response) {
		return this.interceptor.read(response,
				() -> this.objects.get(Requests.path(request, "kind"), Requests.path(request, "name")).toJson());
	}

	private Publisher<Void> listOrWatch(HttpServerRequest request, HttpServerResponse response) {
		String kind = Requests.path(request, "kind");
		String watchRevision = Requests.query(request, WireNames.WATCH, "");
		if (watchRevision.isEmpty()) {
			String after = Requests.query(request, WireNames.AFTER, "");
			Supplier<Object> operation = () -> list(kind, after.isEmpty() ? null : after);
			return Requests.query(request, WireNames.STALE_ALLOWED, "").equals("1")
					? this.interceptor.readStale(response, operation) : this.interceptor.read(response, operation);
		}
		long timeoutMs = Long.parseLong(Requests.query(request, WireNames.WAIT_MS, "30000"));
		return this.interceptor.watch(response, timeoutMs,
				() -> this.objects.changes(kind, Long.parseLong(watchRevision)));
	}

	private ObjectNode list(String kind, @Nullable String after) {
		List<ObjectRecord> page = this.objects.list(kind, after, PAGE_OBJECTS + 1);
		ObjectNode json = this.mapper.createObjectNode();
		ArrayNode items = json.putArray(WireNames.ITEMS);
		page.stream().limit(PAGE_OBJECTS).forEach((object) -> items.add(object.toJson()));
		return json.put(WireNames.HAS_MORE, page.size() > PAGE_OBJECTS)
			.put(WireNames.CURRENT_REVISION, this.objects.revision());
	}

	private Publisher<Void> create(HttpServerRequest request, HttpServerResponse response) {
		return this.interceptor.write(request, response, (body) -> {
			JsonNode json = Requests.parse(this.mapper, body, JsonNode.class);
			String name = json.path(WireNames.META).path(WireNames.NAME).asText();
			return this.objects.create(Requests.path(request, "kind"), name, json.path(WireNames.SPEC)).toJson();
		});
	}

	private Publisher<Void> put(HttpServerRequest request, HttpServerResponse response) {
		return this.interceptor.write(request, response, (body) -> {
			JsonNode json = Requests.parse(this.mapper, body, JsonNode.class);
			return this.objects
				.update(Requests.path(request, "kind"), Requests.path(request, "name"), revisionOf(json),
						json.path(WireNames.SPEC))
				.toJson();
		});
	}

	private Publisher<Void> putStatus(HttpServerRequest request, HttpServerResponse response) {
		return this.interceptor.write(request, response, (body) -> {
			JsonNode json = Requests.parse(this.mapper, body, JsonNode.class);
			return this.objects
				.updateStatus(Requests.path(request, "kind"), Requests.path(request, "name"), revisionOf(json),
						json.path(WireNames.STATUS))
				.toJson();
		});
	}

	private Publisher<Void> delete(HttpServerRequest request, HttpServerResponse response) {
		return this.interceptor.write(request, response,
				(body) -> this.objects
					.delete(Requests.path(request, "kind"), Requests.path(request, "name"),
							Requests.expectedRevision(request))
					.toJson());
	}

	private static @Nullable Long revisionOf(JsonNode body) {
		JsonNode revision = body.path(WireNames.META).path(WireNames.REVISION);
		return revision.isIntegralNumber() ? revision.longValue() : null;
	}

	private Mono<Void> addFault(HttpServerRequest request, HttpServerResponse response) {
		return request.receive().aggregate().asString().flatMap((body) -> {
			InjectedFault fault;
			try {
				fault = Requests.parse(this.mapper, body, InjectedFault.class);
				inject(fault.kind(), fault.durationMs(), fault.probability(), fault.delayMs());
			}
			catch (ApiException | IllegalArgumentException ex) {
				return this.interceptor.reject(response, 400, String.valueOf(ex.getMessage()));
			}
			return this.interceptor.reply(response, fault);
		});
	}

}
