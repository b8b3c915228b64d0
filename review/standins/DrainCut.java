import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A gateway gets SIGTERM while clients reuse connections that were idle for some seconds. */
final class DrainCut {

	private static final int CONNECTIONS = 400;

	private static final long GRACE_MS = 8_000;

	private static final Queue<Request> requests = new ConcurrentLinkedQueue<>();

	private static volatile boolean isOver;

	private static volatile String entry;

	public static void main(String[] arguments) {
		Lab.main(arguments[0], DrainCut::run);
	}

	private static int run(Lab lab) throws Exception {
		List<String> zones = List.of("nbo-a", "nbo-b", "nbo-c");
		for (int i = 0; i < 9; i++) {
			lab.addReplica("i-app" + i, "app", zones.get(i % 3), 6, 0, 0);
		}
		lab.addSeed(11);
		lab.addSeed(12);
		lab.configure(7, List.of(Lab.unsafeRoute("order", 6000, 1)));
		lab.startGateway("edge-nbo-a-1", "nbo-a", 11, true);
		lab.startGateway("edge-nbo-a-2", "nbo-a", 12, true);
		lab.startGateway("edge-nbo-a-3", "nbo-a", 13, true);
		lab.awaitReady(List.of("edge-nbo-a-1", "edge-nbo-a-2", "edge-nbo-a-3"), 25_000);
		Lab.sleep(1_000);
		entry = "edge-nbo-a-1";
		for (int i = 0; i < CONNECTIONS; i++) {
			long seed = i;
			lab.daemon("client", () -> client(lab, new Random(seed)));
			Lab.sleep(10);
		}
		Lab.sleep(14_000);
		// New connections go to another machine from here on, as the platform's entry
		// would arrange within two seconds.
		entry = "edge-nbo-a-2";
		long stopMs = lab.nowMs();
		if (lab.isTroubled) {
			lab.terminate("edge-nbo-a-1");
		}
		Lab.sleep(GRACE_MS + 2_500);
		isOver = true;
		lab.recordLog("edge-nbo-a-1", "gateway.draining", "gateway.stopped");
		int lost = 0;
		int answered = 0;
		for (Request request : requests) {
			long afterMs = request.sentMs - stopMs;
			boolean isPassedOn = lab.runs.containsKey(request.attempt);
			if (request.isAnswered) {
				answered++;
			}
			else if (isPassedOn && request.gateway.equals("edge-nbo-a-1") && afterMs > 3_000
					&& request.endedMs - stopMs <= GRACE_MS + 1_000) {
				lost++;
				lab.record("lost: attempt=" + request.attempt + " sent " + afterMs + " ms after the SIGTERM, passed on to "
						+ lab.runs.get(request.attempt) + ", work " + request.workMs + " ms, connection ended "
						+ (request.endedMs - stopMs) + " ms after the SIGTERM without an answer");
			}
		}
		lab.record("requests=" + requests.size() + " answered=" + answered + " lost=" + lost);
		if (answered < 200) {
			return Lab.NOT_RUN;
		}
		return (lost > 0) ? Lab.BROKEN : Lab.HELD;
	}

	private static void client(Lab lab, Random random) {
		while (!isOver) {
			String gateway = entry;
			try (Client client = new Client(lab.front(gateway))) {
				while (!isOver) {
					// At most 11 s; four fifths of the idle timeout are 12 s.
					Lab.sleep(1_000 + random.nextInt(10_000));
					if (!request(lab, gateway, client, random)) {
						break;
					}
				}
			}
			catch (IOException ex) {
				Lab.sleep(200);
			}
		}
	}

	private static boolean request(Lab lab, String gateway, Client client, Random random) throws IOException {
		Request request = new Request();
		request.attempt = lab.nextAttempt();
		request.gateway = gateway;
		request.workMs = (long) Math.min(1_500, 20 - 292 * Math.log(1 - random.nextDouble()));
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Attempt-Id", request.attempt);
		headers.put("Deadline-Ms", "6000");
		headers.put("X-Work-Ms", Long.toString(request.workMs));
		headers.put("Authorization", "Bearer " + Lab.KEY);
		request.sentMs = lab.nowMs();
		client.send("POST", Lab.HOST, "/order/book", headers, "{\"order\":18}".getBytes());
		requests.add(request);
		try {
			Client.Answer answer = client.receive(7_000);
			request.isAnswered = true;
			lab.record("client got " + answer.status() + " attempt=" + request.attempt + " through " + gateway);
			return answer.head().isKeepAlive();
		}
		catch (IOException ex) {
			request.endedMs = lab.nowMs();
			lab.record("client got no answer attempt=" + request.attempt + " through " + gateway + ": " + ex);
			throw ex;
		}
	}

	private static final class Request {

		private String attempt;

		private String gateway;

		private long workMs;

		private long sentMs;

		private volatile boolean isAnswered;

		private volatile long endedMs = Long.MAX_VALUE / 2;

	}

}
