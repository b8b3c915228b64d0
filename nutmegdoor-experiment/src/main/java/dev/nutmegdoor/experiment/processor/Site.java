package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;

import dev.nutmegdoor.platform.ReplicaDecoder;
import dev.nutmegdoor.platform.SyntheticDeployment;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

/**
 * The store and the replicas of one deployment on loopback addresses. Each machine has an
 * address of its own, so that all listen on the same ports.
 */
final class Site implements AutoCloseable {

	static final List<String> ZONES = List.of("z-a", "z-b", "z-c");

	static final String HOST = "desk.example";

	static final int WORKSPACES = 77;

	private static final int ENGINES = 42;

	private static final int SERVICES = 24;

	private static final int FRONT_PORT = 8368;

	private static final int READY_PORT = 8369;

	private static final int CONTROL_PORT = 8367;

	private static final int FIRST_PORT = 7780;

	private static final int SEEDS = 3;

	private static final int CALLS_PER_SECOND = 100_000;

	/** The store shows a replica as alive by a new entry in this period. */
	private static final Duration BEAT_PERIOD = Duration.ofMillis(1_200);

	private final String subnet;

	private final Path folder;

	private final PlatformStandin store = PlatformStandin.start(new PlatformStandinSettings("127.0.0.1", 0, 1,
			CALLS_PER_SECOND, CALLS_PER_SECOND, 1, 1, 100_000, List.of()));

	private final List<ReplicaResponder> replicas = new ArrayList<>();

	private final Disposable beats;

	Site(String subnet, Path folder) {
		this.subnet = subnet;
		this.folder = folder;
		for (int i = 0; i < ENGINES + SERVICES; i++) {
			boolean isEngine = i < ENGINES;
			this.replicas.add(new ReplicaResponder("i-" + i, subnet + "250", isEngine, isEngine ? 24 : 6));
		}
		this.store.put("config", "main", configuration());
		beat();
		this.beats = Flux.interval(BEAT_PERIOD).subscribe((tick) -> beat());
	}

	private void beat() {
		for (int i = 0; i < this.replicas.size(); i++) {
			ReplicaResponder replica = this.replicas.get(i);
			this.store.put(ReplicaDecoder.KIND, replica.id(), replica.entry(ZONES.get(i % ZONES.size())));
		}
	}

	InetSocketAddress front(int machine) {
		return new InetSocketAddress(this.subnet + machine, FRONT_PORT);
	}

	InetSocketAddress readiness(int machine) {
		return new InetSocketAddress(this.subnet + machine, READY_PORT);
	}

	MeasuredProcess start(Build build, String role, String name, int machine, int firstGateway) {
		boolean isGateway = role.equals("gateway");
		String ip = this.subnet + machine;
		InetSocketAddress address = this.store.address();
		List<String> seeds = new ArrayList<>();
		for (int i = 0; i < SEEDS; i++) {
			seeds.add(this.subnet + (firstGateway + i) + ":" + CONTROL_PORT);
		}
		List<String> lines = new ArrayList<>(List.of("Node=" + name, "Role=" + role, "Ip=" + ip,
				"Class=" + (isGateway ? "edge" : "storage"), "Serves=" + (isGateway ? "edge,control" : "storage"),
				"Zone=" + ZONES.get(machine % ZONES.size()), "Region=r", "Zones.z-a=r", "Zones.z-b=r", "Zones.z-c=r",
				"PortRange=" + FIRST_PORT + "," + (FIRST_PORT + 15), "Seeds=" + String.join(",", seeds),
				"LossCounted=" + !isGateway, "Limits.DiskMb=" + (isGateway ? 0 : 260)));
		lines.addAll(SyntheticDeployment.commonSettings(address.getPort()));
		if (isGateway) {
			lines.add("Listen.Front=" + ip + ":" + FRONT_PORT);
			lines.add("Listen.Ready=" + ip + ":" + READY_PORT);
			lines.add("Listen.Control=" + ip + ":" + CONTROL_PORT);
		}
		else {
			lines.add("DataDir=" + this.folder.resolve("data-" + name));
		}
		Path settings = this.folder.resolve(name + ".conf");
		try {
			Files.createDirectories(this.folder.resolve("data-" + name));
			Files.write(settings, lines);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the settings of " + name + " can't be written", ex);
		}
		return MeasuredProcess.start(build.command(role), build.root(), settings, this.folder.resolve(name + ".log"));
	}

	static String keyOf(int workspace) {
		return "3fexd9dnn2ctnfzs989" + (char) ('a' + workspace % 26) + (char) ('a' + workspace / 26);
	}

	private static String configuration() {
		StringBuilder workspaces = new StringBuilder();
		for (int i = 0; i < WORKSPACES; i++) {
			workspaces.append((i > 0) ? "," : "")
				.append("{\"Name\":\"w")
				.append(i)
				.append("\",\"ApiKeys\":[\"")
				.append(keyOf(i))
				.append("\"],\"Priority\":1,\"RatePerS\":131,\"Burst\":131}");
		}
		return "{\"Version\":7,\"Routes\":["
				+ "{\"Name\":\"turn\",\"Host\":\"desk.example\",\"Prefix\":\"/turn/\",\"Kind\":\"stream\",\"TimeoutMs\":3000,"
				+ "\"SloMs\":200,\"Priority\":1,\"Service\":\"llm\",\"Attempts\":1,\"Retain\":false,\"RetainS\":60.0,"
				+ "\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":200},"
				+ "{\"Name\":\"note\",\"Host\":\"desk.example\",\"Prefix\":\"/note/\",\"Kind\":\"safe\",\"TimeoutMs\":4000,"
				+ "\"SloMs\":1200,\"Priority\":2,\"Service\":\"app\",\"Attempts\":2,\"Public\":false}],"
				+ "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":180,"
				+ "\"Engine\":{\"Slots\":24,\"KvCapacity\":177339,\"Stride\":6}},"
				+ "{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}],"
				+ "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
				+ "\"IdleTimeoutMs\":15000},\"Tenants\":[" + workspaces + "]}";
	}

	@Override
	public void close() {
		this.beats.dispose();
		this.replicas.forEach(ReplicaResponder::close);
		this.store.close();
	}

}
