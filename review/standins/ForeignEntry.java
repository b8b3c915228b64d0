import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts an entry beside those of the replicas, under a name with a space; later
 * a replica drains. No case of the review: the pages don't name such names.
 */
final class ForeignEntry {

	private static final long DRAIN_MS = 2_000;

	public static void main(String[] arguments) {
		Lab.main(arguments[0], ForeignEntry::run);
	}

	private static int run(Lab lab) throws Exception {
		List<String> zones = List.of("nbo-a", "nbo-b", "nbo-c");
		for (int i = 0; i < 6; i++) {
			lab.addReplica("i-7f3a91c" + i, "app", zones.get(i % 3), 6, 0, 80);
		}
		lab.addSeed(11);
		lab.addSeed(12);
		lab.configure(7, List.of(Lab.unsafeRoute("note", 4000, 1)));
		List<String> gateways = List.of("edge-nbo-a-1", "edge-nbo-b-1");
		lab.startGateway(gateways.get(0), "nbo-a", 11, true);
		lab.startGateway(gateways.get(1), "nbo-b", 12, true);
		lab.awaitReady(gateways, 25_000);
		Lab.sleep(3_000);
		AtomicInteger answered = new AtomicInteger();
		Queue<Sent> lost = new ConcurrentLinkedQueue<>();
		Queue<Sent> sent = new ConcurrentLinkedQueue<>();
		ExecutorService clients = Executors.newFixedThreadPool(60);
		ReplicaStandin leaving = lab.replicas.get(0);
		long startMs = lab.nowMs();
		long drainedMs = Long.MAX_VALUE / 2;
		for (int i = 0; i < 900; i++) {
			if (i == 200 && lab.isTroubled) {
				String name = System.getenv().getOrDefault("ENTRY_NAME", "spare replica 7");
				lab.store.put("servers", name, Map.of("Service", 7, "State", "unknown"));
				lab.record("another writer puts servers/" + name);
			}
			if (i == 350) {
				leaving.drain();
				drainedMs = lab.nowMs();
				lab.record("replica " + leaving.id + " reports draining; the store has accepted it");
			}
			if (i == 700) {
				lab.record("replica " + leaving.id + " ends");
				leaving.stop();
			}
			String gateway = gateways.get(i % 2);
			clients.execute(() -> request(lab, gateway, sent, lost, answered));
			Lab.sleep(20);
		}
		clients.shutdown();
		clients.awaitTermination(10, TimeUnit.SECONDS);
		int late = 0;
		for (Sent request : sent) {
			if (request.sentMs > drainedMs + DRAIN_MS
					&& lab.runs.getOrDefault(request.attempt, List.of()).contains(leaving.id)) {
				late++;
			}
		}
		lab.record("sent=" + sent.size() + " answered=" + answered + " notAnsweredWithSuccess=" + lost.size()
				+ " ranAtDrainingReplicaTooLate=" + late + " took=" + (lab.nowMs() - startMs) + " ms");
		for (String gateway : gateways) {
			lab.recordLog(gateway, "kind=servers", "replica.listed", "control.task_failed");
		}
		if (answered.get() < 400) {
			return Lab.NOT_RUN;
		}
		return (late > 0) ? Lab.BROKEN : Lab.HELD;
	}

	private static void request(Lab lab, String gateway, Queue<Sent> sent, Queue<Sent> lost, AtomicInteger answered) {
		String attempt = lab.nextAttempt();
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Attempt-Id", attempt);
		headers.put("Deadline-Ms", "4000");
		headers.put("Authorization", "Bearer " + Lab.KEY);
		Sent request = new Sent(attempt, lab.nowMs());
		try (Client client = new Client(lab.front(gateway))) {
			client.send("POST", Lab.HOST, "/note/issue", headers, "{\"note\":18}".getBytes());
			sent.add(request);
			Client.Answer answer = client.receive(5_000);
			if (answer.isSealed()) {
				answered.incrementAndGet();
			}
			else {
				lost.add(request);
			}
			lab.record("client got " + answer.status() + " attempt=" + attempt + " through " + gateway);
		}
		catch (IOException ex) {
			lost.add(request);
			lab.record("client got no answer attempt=" + attempt + ": " + ex);
		}
	}

	private record Sent(String attempt, long sentMs) {

	}

}
