import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * All machines are replaced one after the other by those of another build and back, while
 * programs and orders go on. Once a storage machine is emptied, and once all processes are
 * killed while both builds serve.
 */
final class TwoVersions {

	private static final List<String> ZONES = List.of("nbo-a", "nbo-b", "nbo-c");

	private static final int PROGRAMS = 9;

	private static final int ORDER_CLIENTS = 6;

	/** RecoverS of the settings, and the time in which a process of the case starts. */
	private static final int RECOVERY_MS = 12_000;

	private final Lab lab;

	private final Path olderBuild;

	private final Path newerBuild;

	private final Map<String, Integer> hosts = new LinkedHashMap<>();

	private final List<Program> programs = Collections.synchronizedList(new ArrayList<>());

	private final ConcurrentLinkedQueue<Order> orders = new ConcurrentLinkedQueue<>();

	private final AtomicInteger nextProgram = new AtomicInteger();

	private volatile boolean isOver;

	/** Phase of the case, by which the results are counted. */
	private volatile String phase = "older";

	/** Gateways that get new connections, as the platform's entry would arrange. */
	private final List<String> entries = new CopyOnWriteArrayList<>();

	/** Link to the folder of the build whose processes are started. */
	private final Path currentBuild;

	private final Map<String, Integer> turnResults = new TreeMap<>();

	private final Map<String, Integer> orderResults = new TreeMap<>();

	private TwoVersions(Lab lab, Path currentBuild) {
		this.lab = lab;
		this.currentBuild = currentBuild;
		this.olderBuild = Path.of(Objects.requireNonNull(System.getenv("OLD"), "OLD"));
		this.newerBuild = Path.of(Objects.requireNonNull(System.getenv("NEW"), "NEW"));
	}

	public static void main(String[] arguments) {
		Lab.main(arguments[0], (lab) -> new TwoVersions(lab, Path.of(arguments[0]).getParent().getParent()).run());
	}

	// The lab starts processes in the folder that this link points to.
	private void useBuild(Path build) throws IOException {
		Files.deleteIfExists(this.currentBuild);
		Files.createSymbolicLink(this.currentBuild, build.toAbsolutePath().normalize());
	}

	private int run() throws Exception {
		for (int i = 0; i < 3; i++) {
			this.lab.addReplica("i-llm" + i, "llm", ZONES.get(i), 16, Lab.STRIDE, 20);
			this.lab.replicas.get(2 * i).eventsOfAStream = Program.EVENTS_OF_A_TURN;
			this.lab.addReplica("i-app" + i, "app", ZONES.get(i), 6, 0, 30);
			this.lab.addSeed(11 + i);
			this.hosts.put(gateway(i), 11 + i);
			this.hosts.put(storage(i), 21 + i);
		}
		this.lab.configure(7, List.of(Lab.streamRoute(), Lab.unsafeRoute("order", 6_000, 2)));
		useBuild(this.olderBuild);
		for (int i = 0; i < 3; i++) {
			this.lab.startLedger(storage(i), ZONES.get(i), 21 + i, true);
			this.lab.startGateway(gateway(i), ZONES.get(i), 11 + i, true);
		}
		this.lab.awaitReady(gateways(), 25_000);
		this.entries.addAll(gateways());
		Lab.sleep(3_000);
		for (int i = 0; i < PROGRAMS; i++) {
			int first = i;
			this.lab.daemon("programs", () -> runPrograms(first));
		}
		for (int i = 0; i < ORDER_CLIENTS; i++) {
			int first = i;
			this.lab.daemon("orders", () -> sendOrders(first));
		}
		Lab.sleep(6_000);
		if (this.lab.isTroubled) {
			replaceAll();
		}
		else {
			Lab.sleep(100_000);
		}
		this.isOver = true;
		Lab.sleep(7_000);
		return judge();
	}

	private void replaceAll() throws Exception {
		useBuild(this.newerBuild);
		this.phase = "storage machines are upgraded";
		for (int i = 0; i < 3; i++) {
			replaceLedger(i, i == 1);
		}
		this.phase = "gateways are upgraded";
		replaceGateway(0);
		this.phase = "all are killed while both builds serve";
		killAll();
		this.phase = "gateways are upgraded";
		replaceGateway(1);
		replaceGateway(2);
		this.phase = "newer";
		Lab.sleep(5_000);
		useBuild(this.olderBuild);
		this.phase = "gateways go back";
		for (int i = 0; i < 3; i++) {
			replaceGateway(i);
		}
		this.phase = "storage machines go back";
		for (int i = 0; i < 3; i++) {
			replaceLedger(i, false);
		}
		this.phase = "older again";
		Lab.sleep(5_000);
	}

	private static String gateway(int zone) {
		return "edge-" + ZONES.get(zone) + "-1";
	}

	private static String storage(int zone) {
		return "storage-" + ZONES.get(zone) + "-1";
	}

	private static List<String> gateways() {
		return List.of(gateway(0), gateway(1), gateway(2));
	}

	private void end(String node, boolean isKilled) throws InterruptedException {
		if (isKilled) {
			this.lab.kill(node);
		}
		else {
			this.lab.terminate(node);
		}
		if (!this.lab.process(node).waitFor(15, TimeUnit.SECONDS)) {
			this.lab.record(node + " did not end");
			this.lab.kill(node);
		}
	}

	private void replaceLedger(int zone, boolean isEmptied) throws Exception {
		end(storage(zone), isEmptied);
		if (isEmptied) {
			empty(this.lab.dataFolder(storage(zone)));
			this.lab.record("disk of " + storage(zone) + " is emptied");
		}
		this.lab.startLedger(storage(zone), ZONES.get(zone), this.hosts.get(storage(zone)), false);
		Lab.sleep(5_000);
	}

	private static void empty(Path folder) throws IOException {
		try (Stream<Path> files = Files.walk(folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	private void replaceGateway(int zone) throws Exception {
		this.entries.remove(gateway(zone));
		end(gateway(zone), false);
		this.lab.startGateway(gateway(zone), ZONES.get(zone), this.hosts.get(gateway(zone)), false);
		this.lab.awaitReady(List.of(gateway(zone)), 25_000);
		this.entries.add(gateway(zone));
		Lab.sleep(3_000);
	}

	// The storage machines have the newer build, one of the gateways too.
	private void killAll() throws Exception {
		this.entries.clear();
		for (String node : this.hosts.keySet()) {
			this.lab.kill(node);
		}
		for (String node : this.hosts.keySet()) {
			this.lab.process(node).waitFor();
		}
		long killedMs = this.lab.nowMs();
		for (int i = 0; i < 3; i++) {
			useBuild(this.newerBuild);
			this.lab.startLedger(storage(i), ZONES.get(i), 21 + i, false);
			useBuild((i == 0) ? this.newerBuild : this.olderBuild);
			this.lab.startGateway(gateway(i), ZONES.get(i), 11 + i, false);
		}
		useBuild(this.newerBuild);
		this.lab.awaitReady(gateways(), 25_000);
		this.lab.record("all gateways are ready " + (this.lab.nowMs() - killedMs) + " ms after all were killed");
		this.entries.addAll(gateways());
		Lab.sleep(Math.max(0, RECOVERY_MS - (this.lab.nowMs() - killedMs)));
		this.phase = "recovered";
		Lab.sleep(5_000);
	}

	private String entry(int turn) {
		List<String> current = List.copyOf(this.entries);
		return current.isEmpty() ? null : current.get(turn % current.size());
	}

	// Each turn goes through another gateway. A program that has spent its budget asks
	// for more from time to time, so that a budget that was forgotten shows.
	private void runPrograms(int first) {
		Program program = null;
		int asked = 0;
		for (int turn = first; !this.isOver; turn++) {
			String entry = entry(turn);
			if (entry == null) {
				Lab.sleep(100);
				continue;
			}
			if (program == null || asked > 20) {
				program = new Program(this.lab, Integer.toHexString(0x3fa000 + this.nextProgram.incrementAndGet()));
				this.programs.add(program);
				asked = 0;
			}
			program.turns(entry, 1);
			if (program.lastStatus == 402) {
				asked++;
				Lab.sleep(1_000);
			}
			count(this.turnResults, program.lastStatus);
		}
	}

	private synchronized void count(Map<String, Integer> results, int status) {
		results.merge(this.phase + ": " + status, 1, Integer::sum);
	}

	private void sendOrders(int first) {
		for (int turn = first; !this.isOver; turn++) {
			String entry = entry(turn);
			if (entry != null) {
				Order order = new Order();
				order.attempt = this.lab.nextAttempt();
				send(order, entry);
				this.orders.add(order);
				count(this.orderResults, order.status);
			}
			Lab.sleep(100);
		}
	}

	private void send(Order order, String entry) {
		Map<String, String> headers = Map.of("Attempt-Id", order.attempt, "Deadline-Ms", "6000", "Authorization",
				"Bearer " + Lab.KEY);
		try (Client client = new Client(this.lab.front(entry))) {
			client.send("POST", Lab.HOST, "/order/book", headers, "{\"order\":18}".getBytes());
			Client.Answer answer = client.receive(7_000);
			order.status = answer.status();
			order.isOwn = !answer.isSealed() || answer.body().contains("\"" + order.attempt + "\"");
		}
		catch (IOException ex) {
			this.lab.record("client got no answer attempt=" + order.attempt + " through " + entry + ": " + ex);
		}
	}

	private int judge() {
		int broken = 0;
		for (Order order : this.orders) {
			int runs = this.lab.runs.getOrDefault(order.attempt, List.of()).size();
			boolean isRefusedAsNotRun = order.status == 503 || order.status == 429;
			if (runs > 1 || !order.isOwn || (order.status == 200 && runs == 0) || (isRefusedAsNotRun && runs > 0)) {
				broken++;
				this.lab.record("broken: order " + order.attempt + " status=" + order.status + " runs=" + runs + " own="
						+ order.isOwn);
			}
		}
		int most = Program.BUDGET + Program.MOST_OF_A_TURN;
		int spent = 0;
		for (Program program : List.copyOf(this.programs)) {
			spent += (program.lastStatus == 402) ? 1 : 0;
			if (program.tokens > most) {
				broken++;
				this.lab.record("broken: a program got " + program.tokens + " tokens, its budget and one turn are " + most);
			}
		}
		this.hosts.keySet().forEach((node) -> this.lab.recordLog(node, "Exception", "violat", "connection_failed"));
		print("programs=" + this.programs.size() + " spent=" + spent + " most tokens="
				+ this.programs.stream().mapToInt((program) -> program.tokens).max().orElse(0) + " allowed=" + most);
		print("orders=" + this.orders.size() + " broken=" + broken);
		this.turnResults.forEach((result, count) -> print("turns, " + result + " x " + count));
		this.orderResults.forEach((result, count) -> print("orders, " + result + " x " + count));
		if (spent == 0 || this.orders.size() < 500) {
			return Lab.NOT_RUN;
		}
		return (broken > 0) ? Lab.BROKEN : Lab.HELD;
	}

	private void print(String line) {
		this.lab.record(line);
		System.out.println(line);
	}

	private static final class Order {

		private String attempt;

		private int status;

		private boolean isOwn = true;

	}

}
