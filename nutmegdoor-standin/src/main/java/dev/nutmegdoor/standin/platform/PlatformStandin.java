package dev.nutmegdoor.standin.platform;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.core.store.StorePage;

/**
 * HTTP server that stands in for the platform; see {@code docs/platform-api.md}.
 */
public final class PlatformStandin implements AutoCloseable {

	private static final String OBJECT = "/v1/objects/{kind}/{name}";

	private static final String INSTANCE = "/v1/instances/{id}";

	private final long startedNs = System.nanoTime();

	private final ObjectMapper mapper = new ObjectMapper();

	private final FaultSchedule faults;

	private final CallStatistics statistics = new CallStatistics();

	private final ObjectTable objects;

	private final InstanceTable instances;

	private final CallGate gate;

	private final DisposableServer server;

	private PlatformStandin(PlatformStandinSettings settings) {
		this.faults = new FaultSchedule(settings);
		this.objects = new ObjectTable(settings.keptEvents());
		this.instances = new InstanceTable(settings.listLagMs());
		this.gate = new CallGate(settings, this.faults, this.statistics, this::elapsedMs, this.mapper);
		this.server = HttpServer.create()
			.host(settings.host())
			.port(settings.port())
			.route((routes) -> routes.get(OBJECT, this::get)
				.put(OBJECT, this::put)
				.delete(OBJECT, this::delete)
				.get("/v1/objects/{kind}", this::list)
				.get("/v1/watch/{kind}", this::watch)
				.get("/v1/instances", this::listInstances)
				.put(INSTANCE, this::register)
				.delete(INSTANCE, this::unregister)
				.get("/control/statistics", (request, response) -> this.gate.reply(response, statistics()))
				.post("/control/faults", this::addFault))
			.bindNow();
	}

	/**
	 * Starts the server.
	 * @param settings the settings
	 * @return the running server
	 */
	public static PlatformStandin start(PlatformStandinSettings settings) {
		return new PlatformStandin(settings);
	}

	/**
	 * Returns the address of the server.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.address();
	}

	/**
	 * Adds a fault that starts now.
	 * @param kind kind of the fault
	 * @param durationMs duration in milliseconds
	 * @param probability probability that a call meets the fault, 0 to 1
	 * @param delayMs delay of a slow answer in milliseconds
	 */
	public void inject(PlatformFaultKind kind, long durationMs, double probability, long delayMs) {
		long nowMs = elapsedMs();
		this.faults.add(new PlatformFault(kind, nowMs, nowMs + durationMs, probability, delayMs));
	}

	/**
	 * Returns counts of calls by outcome, and the bytes written.
	 * @return a copy
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
		return this.gate.read(response,
				() -> this.objects.get(Requests.path(request, "kind"), Requests.path(request, "name")));
	}

	private Publisher<Void> list(HttpServerRequest request, HttpServerResponse response) {
		return this.gate.read(response, () -> {
			StorePage page = this.objects.list(Requests.path(request, "kind"), Requests.query(request, "prefix", ""));
			return Map.of("objects", page.objects(), "version", page.version());
		});
	}

	private Publisher<Void> put(HttpServerRequest request, HttpServerResponse response) {
		return this.gate.write(request, response, (body) -> {
			String kind = Requests.path(request, "kind");
			String name = Requests.path(request, "name");
			long version = (Requests.isCreate(request) ? this.objects.create(kind, name, body)
					: this.objects.update(kind, name, Requests.expectedVersion(request), body))
				.version();
			return Map.of("kind", kind, "name", name, "version", version);
		});
	}

	private Publisher<Void> delete(HttpServerRequest request, HttpServerResponse response) {
		return this.gate.write(request, response,
				(body) -> Map.of("version", this.objects.delete(Requests.path(request, "kind"),
						Requests.path(request, "name"), Requests.expectedVersion(request))));
	}

	private Publisher<Void> watch(HttpServerRequest request, HttpServerResponse response) {
		String kind = Requests.path(request, "kind");
		long afterVersion = Long.parseLong(Requests.query(request, "after", "0"));
		long timeoutMs = Long.parseLong(Requests.query(request, "timeoutMs", "10000"));
		return this.gate.watch(response, timeoutMs, () -> this.objects.changes(kind, afterVersion));
	}

	private Publisher<Void> listInstances(HttpServerRequest request, HttpServerResponse response) {
		return this.gate.read(response, () -> Map.of("instances", this.instances.list(elapsedMs())));
	}

	private Publisher<Void> register(HttpServerRequest request, HttpServerResponse response) {
		return this.gate.write(request, response, (body) -> {
			InstanceEntry entry = Requests.parse(this.mapper, body, InstanceEntry.class);
			if (!entry.id().equals(Requests.path(request, "id"))) {
				throw new ApiException(400, "id in the body differs from the id in the path");
			}
			this.instances.put(elapsedMs(), entry);
			return entry;
		});
	}

	private Publisher<Void> unregister(HttpServerRequest request, HttpServerResponse response) {
		return this.gate.write(request, response, (body) -> {
			String id = Requests.path(request, "id");
			this.instances.remove(elapsedMs(), id);
			return Map.of("id", id);
		});
	}

	private Mono<Void> addFault(HttpServerRequest request, HttpServerResponse response) {
		return request.receive().aggregate().asString().flatMap((body) -> {
			InjectedFault fault;
			try {
				fault = Requests.parse(this.mapper, body, InjectedFault.class);
				inject(fault.kind(), fault.durationMs(), fault.probability(), fault.delayMs());
			}
			catch (ApiException | IllegalArgumentException ex) {
				return this.gate.refuse(response, 400, String.valueOf(ex.getMessage()));
			}
			return this.gate.reply(response, fault);
		});
	}

}
