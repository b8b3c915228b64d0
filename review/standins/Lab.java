import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's gateways and ledger replicas as
 * separate processes, started with the commands of the deploy file, and stand-ins for the
 * platform, the replicas and the clients. Each machine has its own address.
 */
final class Lab {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	static final String HOST = "desk.example";

	static final String KEY = keyOf(0);

	/** Number of tenants, as on the sheet of the small deployment. */
	static final int TENANTS = 8;

	static final int STRIDE = 6;

	private static final int FRONT = 8368;

	private static final int READY = 8369;

	private static final int CONTROL = 8367;

	private static final int FIRST_PORT = 7780;

	private static final int METRICS = 9464;

	final StoreStandin store;

	final List<ReplicaStandin> replicas = new ArrayList<>();

	final Map<String, List<String>> runs = new ConcurrentHashMap<>();

	final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));

	private final Path root;

	private final Path folder;

	private final PrintWriter record;

	private final long startedNs = System.nanoTime();

	private final int subnet;

	private final InetSocketAddress storeAddress;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, Integer> hosts = new LinkedHashMap<>();

	private final List<InetSocketAddress> seeds = new ArrayList<>();

	private long attempts;

	private final long attemptBase = new Random().nextLong() >>> 8;

	Lab(Path caseFolder) throws IOException {
		this.root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
		this.folder = Files.createTempDirectory("review");
		this.record = new PrintWriter(Files.newBufferedWriter(
				Path.of(System.getenv().getOrDefault("RECORD", caseFolder.resolve("record.txt").toString()))), true);
		this.subnet = freeSubnet();
		this.storeAddress = new InetSocketAddress(address(250), 8362);
		this.store = new StoreStandin(this.storeAddress);
		Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
		daemon("beats", () -> {
			while (true) {
				sleep(1_200);
				List.copyOf(this.replicas).forEach(ReplicaStandin::beat);
			}
		});
		record("trouble=" + this.isTroubled + " addresses=127." + this.subnet / 250 + "." + this.subnet % 250 + ".*");
	}

	private int freeSubnet() throws IOException {
		Random random = new Random();
		for (int tries = 0; tries < 100; tries++) {
			int candidate = 250 + random.nextInt(60_000 - 250);
			boolean isFree = true;
			for (int port : new int[] { FRONT, READY, CONTROL, FIRST_PORT, METRICS, 8362 }) {
				try (ServerSocket probe = new ServerSocket()) {
					probe.bind(new InetSocketAddress(address(candidate, 11), port));
				}
				catch (IOException ex) {
					isFree = false;
				}
			}
			if (isFree) {
				return candidate;
			}
		}
		throw new IOException("no free addresses");
	}

	private static InetAddress address(int subnet, int host) {
		try {
			return InetAddress.getByAddress(
					new byte[] { 127, (byte) (subnet / 250), (byte) (subnet % 250), (byte) host });
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static String keyOf(int tenant) {
		return "3fexd9dnn2ctnfzs989" + (char) ('a' + tenant);
	}

	InetAddress address(int host) {
		return address(this.subnet, host);
	}

	InetSocketAddress front(String gateway) {
		return new InetSocketAddress(address(this.hosts.get(gateway)), FRONT);
	}

	void addReplica(String id, String service, String zone, int slots, int stride, long workMs) throws IOException {
		this.replicas.add(new ReplicaStandin(this, id, service, zone, slots, stride, workMs,
				address(100 + this.replicas.size())));
	}

	/** The first configuration; routes as on the sheet of the small deployment. */
	void configure(long version, List<Map<String, Object>> routes) {
		Map<String, Object> engine = new LinkedHashMap<>();
		engine.put("Slots", 16);
		engine.put("KvCapacity", 231141);
		engine.put("Stride", STRIDE);
		Map<String, Object> llm = new LinkedHashMap<>();
		llm.put("Name", "llm");
		llm.put("HealthPath", "/healthz");
		llm.put("MaxConns", 180);
		llm.put("Engine", engine);
		Map<String, Object> app = new LinkedHashMap<>();
		app.put("Name", "app");
		app.put("HealthPath", "/healthz");
		app.put("MaxConns", 110);
		List<Map<String, Object>> tenants = new ArrayList<>();
		for (int i = 0; i < TENANTS; i++) {
			Map<String, Object> tenant = new LinkedHashMap<>();
			tenant.put("Name", "hule93" + i);
			tenant.put("ApiKeys", List.of(keyOf(i)));
			tenant.put("Priority", 1);
			tenant.put("RatePerS", 131);
			tenant.put("Burst", 131);
			tenants.add(tenant);
		}
		Map<String, Object> configuration = new LinkedHashMap<>();
		configuration.put("Version", version);
		configuration.put("Routes", routes);
		configuration.put("Services", List.of(llm, app));
		configuration.put("Limits", Map.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000,
				"IdleTimeoutMs", 15000));
		configuration.put("Tenants", tenants);
		this.store.put("config", "main", configuration);
	}

	static Map<String, Object> streamRoute() {
		Map<String, Object> route = new LinkedHashMap<>();
		route.put("Name", "r-quote");
		route.put("Host", HOST);
		route.put("Prefix", "/quote/");
		route.put("Kind", "stream");
		route.put("TimeoutMs", 3000);
		route.put("SloMs", 200);
		route.put("Priority", 1);
		route.put("Service", "llm");
		route.put("Attempts", 1);
		route.put("Retain", false);
		route.put("RetainS", 60.0);
		route.put("Public", false);
		route.put("Sticky", true);
		route.put("Resumable", true);
		route.put("GapTargetMs", 200);
		return route;
	}

	static Map<String, Object> safeRoute(String name, int timeoutMs, int attempts) {
		Map<String, Object> route = unsafeRoute(name, timeoutMs, attempts);
		route.put("Kind", "safe");
		return route;
	}

	static Map<String, Object> unsafeRoute(String name, int timeoutMs, int attempts) {
		Map<String, Object> route = new LinkedHashMap<>();
		route.put("Name", "r-" + name);
		route.put("Host", HOST);
		route.put("Prefix", "/" + name + "/");
		route.put("Kind", "unsafe");
		route.put("TimeoutMs", timeoutMs);
		route.put("SloMs", 1200);
		route.put("Priority", 2);
		route.put("Service", "app");
		route.put("Attempts", attempts);
		route.put("Public", false);
		return route;
	}

	void addSeed(int host) {
		this.seeds.add(new InetSocketAddress(address(host), CONTROL));
	}

	void startGateway(String node, String zone, int host, boolean isBootstrap) throws IOException {
		this.hosts.put(node, host);
		start(node, "gateway", zone, host, isBootstrap);
	}

	void startLedger(String node, String zone, int host, boolean isBootstrap) throws IOException {
		this.hosts.put(node, host);
		start(node, "ledger", zone, host, isBootstrap);
	}

	private void start(String node, String role, String zone, int host, boolean isBootstrap) throws IOException {
		boolean isGateway = role.equals("gateway");
		String ip = address(host).getHostAddress();
		List<String> lines = new ArrayList<>(List.of("Node=" + node, "Role=" + role,
				"Class=" + (isGateway ? "edge" : "storage"), "Serves=" + (isGateway ? "edge,control" : "storage"),
				"Ip=" + ip, "Zone=" + zone, "Region=ke-central", "Zones.nbo-a=ke-central", "Zones.nbo-b=ke-central",
				"Zones.nbo-c=ke-central", "PortRange=" + FIRST_PORT + "," + (FIRST_PORT + 15),
				"Seeds=" + String.join(",",
						this.seeds.stream().map((seed) -> seed.getHostString() + ":" + seed.getPort()).toList()),
				"Bootstrap=" + isBootstrap, "LossCounted=" + !isGateway, "Limits.CpuShare=0.75", "Limits.Cores=1",
				"Limits.MemoryMb=280", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0",
				"Limits.DiskMb=" + (isGateway ? 0 : 260), "Discovery=platform", "Entry=vip", "BeatIntervalMs=1200",
				"Contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,quota,platform",
				"Tolerate.Machines=1", "Tolerate.Zones=1", "Tolerate.Regions=0", "Bounds.SeedLagS=3",
				"Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchupS=4",
				"Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000",
				"Bounds.RollbackSlackMs=250", "Bounds.MaxSkewMs=5000", "Bounds.RevokeStrict=false",
				"Bounds.RevokeMs=5000", "Bounds.QuotaWindowS=5", "Bounds.QuotaOver=0.1", "Bounds.QuotaSlack=20",
				"Bounds.RecoverS=12", "Bounds.PassMs=120", "Bounds.RetryAfterS=0", "Bounds.DeadlineS=10",
				"Bounds.SettleMs=1000",
				"Provider.Addr=" + this.storeAddress.getHostString() + ":" + this.storeAddress.getPort(),
				"Provider.form=objects", "Provider.WritesPerS=400", "Provider.ReadsPerS=2000", "Provider.HistoryS=20",
				"Provider.ValueBytes=1048576", "Provider.TtlMinMs=1000"));
		if (isGateway) {
			lines.add("Listen.Front=" + ip + ":" + FRONT);
			lines.add("Listen.Ready=" + ip + ":" + READY);
			lines.add("Listen.Control=" + ip + ":" + CONTROL);
		}
		else {
			lines.add("DataDir=" + Files.createDirectories(dataFolder(node)));
		}
		Path settings = this.folder.resolve(node + ".conf");
		Files.write(settings, lines);
		ProcessBuilder builder = new ProcessBuilder(command(role)).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(logOf(node)));
		builder.environment().put("NUTMEGDOOR_BOOT", settings.toString());
		this.processes.put(node, builder.start());
		record("process " + node + " started as " + role + " pid=" + this.processes.get(node).pid());
	}

	Path dataFolder(String node) {
		return this.folder.resolve("data-" + node);
	}

	private File logOf(String node) {
		return this.folder.resolve(node + ".log").toFile();
	}

	/** The command of a role in the deploy file, split at spaces. */
	private List<String> command(String role) throws IOException {
		boolean isRole = false;
		for (String line : Files.readAllLines(this.root.resolve("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				isRole = line.equals("[roles." + role + "]");
			}
			else if (isRole && line.startsWith("run")) {
				return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
			}
		}
		throw new IOException("the deploy file has no role " + role);
	}

	Process process(String node) {
		return this.processes.get(node);
	}

	void kill(String node) {
		record("process " + node + " gets SIGKILL");
		this.processes.get(node).destroyForcibly();
	}

	void terminate(String node) {
		record("process " + node + " gets SIGTERM");
		this.processes.get(node).destroy();
	}

	/** Waits until the gateways answer 200 at their readiness address. */
	void awaitReady(List<String> nodes, int timeoutMs) throws IOException {
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		for (String node : nodes) {
			while (!isReady(node)) {
				if (System.nanoTime() > endNs) {
					throw new IOException(node + " is not ready; its log:\n" + tail(node));
				}
				sleep(50);
			}
		}
		record("ready: " + nodes);
	}

	boolean isReady(String node) {
		try (Client client = new Client(new InetSocketAddress(address(this.hosts.get(node)), READY))) {
			client.send("GET", "ready", "/readyz", Map.of(), null);
			return client.receive(1_000).status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	String tail(String node) {
		try {
			List<String> lines = Files.readAllLines(logOf(node).toPath(), StandardCharsets.UTF_8);
			return String.join("\n", lines.subList(Math.max(0, lines.size() - 15), lines.size()));
		}
		catch (IOException ex) {
			return String.valueOf(ex);
		}
	}

	/** Copies the lines of a process log that contain one of the words to the record. */
	void recordLog(String node, String... words) {
		try (Stream<String> lines = Files.lines(logOf(node).toPath(), StandardCharsets.UTF_8)) {
			lines.filter((line) -> Arrays.stream(words).anyMatch(line::contains))
				.limit(60)
				.forEach((line) -> record("log " + node + ": " + line));
		}
		catch (IOException ex) {
			record("log " + node + " can't be read: " + ex);
		}
	}

	synchronized String nextAttempt() {
		return Long.toHexString(this.attemptBase + 7919 * ++this.attempts);
	}

	void ran(String attempt, String replica) {
		this.runs.computeIfAbsent(attempt, (key) -> java.util.Collections.synchronizedList(new ArrayList<>()))
			.add(replica);
		record("replica " + replica + " runs attempt=" + attempt);
	}

	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNs);
	}

	void sleepUntil(long ms) {
		sleep(Math.max(0, ms - nowMs()));
	}

	synchronized void record(String line) {
		this.record.println(String.format("%8.3f %s", nowMs() / 1000.0, line));
	}

	Thread daemon(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void endAll() {
		this.processes.values().forEach(Process::destroyForcibly);
		this.processes.values().forEach((process) -> {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		if (System.getenv("KEEP") != null) {
			System.out.println("kept: " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
		}
		catch (IOException ex) {
			System.err.println("the temporary folder remains: " + ex);
		}
	}

	/** A case: returns HELD, BROKEN or NOT_RUN. */
	interface Case {

		int run(Lab lab) throws Exception;

	}

	static void main(String folder, Case scenario) {
		int result = NOT_RUN;
		try {
			Lab lab = new Lab(Path.of(folder));
			try {
				result = scenario.run(lab);
			}
			catch (Exception ex) {
				lab.record("the case could not run: " + ex);
			}
			lab.record("result " + result);
			System.out.println("result " + result);
		}
		catch (IOException ex) {
			System.err.println("the case could not run: " + ex);
		}
		System.exit(result);
	}

}
