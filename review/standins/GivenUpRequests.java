import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Half of the clients that send one dispatch note each leave early; the others wait, some of
 * them on kept connections.
 */
final class GivenUpRequests {

	private static final int TRAFFIC_MS = 85_000;

	private static final int PATIENT_CLIENTS = 40;

	private static final int OTHERS_PER_S = 500;

	/** Sizes of answers in bytes as on the sheet: 800 in the mean, 4,800 at most. */
	private static final int MEDIAN_BYTES = 706;

	private static final double SPREAD = 0.5;

	private static final int MOST_BYTES = 4_800;

	private static final int WORK_MS = 208;

	private static final int TIMEOUT_MS = 4_000;

	private static final AtomicInteger answered = new AtomicInteger();

	private static final AtomicInteger left = new AtomicInteger();

	private static final AtomicInteger refused = new AtomicInteger();

	/** Requests from kept connections that ended without a complete answer. */
	private static final Queue<String> unanswered = new ConcurrentLinkedQueue<>();

	private static volatile boolean isOver;

	public static void main(String[] arguments) {
		Lab.main(arguments[0], GivenUpRequests::run);
	}

	private static int run(Lab lab) throws Exception {
		List<String> zones = List.of("nbo-a", "nbo-b", "nbo-c");
		for (int i = 0; i < 23; i++) {
			lab.addReplica("i-app" + i, "app", zones.get(i % 3), 6, 0, WORK_MS);
			lab.replicas.get(i).answerBytes = GivenUpRequests::answerBytes;
		}
		lab.addSeed(11);
		lab.configure(7, List.of(Lab.unsafeRoute("note", TIMEOUT_MS, 1)));
		lab.startGateway("edge-nbo-a-1", "nbo-a", 11, true);
		lab.awaitReady(List.of("edge-nbo-a-1"), 25_000);
		Lab.sleep(1_000);
		for (int i = 0; i < PATIENT_CLIENTS; i++) {
			int tenant = i % Lab.TENANTS;
			lab.daemon("patient", () -> patient(lab, tenant));
		}
		ExecutorService others = Executors.newFixedThreadPool(400);
		Random random = new Random(1);
		long endMs = lab.nowMs() + TRAFFIC_MS;
		for (int i = 0; lab.nowMs() < endMs; i++) {
			int tenant = (i / 2) % Lab.TENANTS;
			long leavesAfterMs = (lab.isTroubled && i % 2 == 0) ? 50 + random.nextInt(200) : 0;
			others.execute(() -> other(lab, tenant, leavesAfterMs));
			Lab.sleep(1_000 / OTHERS_PER_S);
			if (i % 2_500 == 0) {
				lab.record("so far answered=" + answered + " left=" + left + " refused=" + refused + " unanswered="
						+ unanswered.size() + " ready=" + lab.isReady("edge-nbo-a-1") + " alive="
						+ lab.process("edge-nbo-a-1").isAlive());
			}
		}
		isOver = true;
		others.shutdown();
		others.awaitTermination(10, TimeUnit.SECONDS);
		Lab.sleep(10_000);
		int lost = 0;
		for (String attempt : unanswered) {
			if (lab.runs.containsKey(attempt)) {
				lost++;
				lab.record("lost: attempt=" + attempt + " passed on to " + lab.runs.get(attempt)
						+ ", its kept connection closed without an answer");
			}
		}
		boolean isReady = lab.isReady("edge-nbo-a-1");
		lab.record("answered=" + answered + " left=" + left + " refused=" + refused + " unanswered=" + unanswered.size()
				+ " lost=" + lost + "; 10 s after the end of traffic: alive=" + lab.process("edge-nbo-a-1").isAlive()
				+ " ready=" + isReady);
		lab.recordLog("edge-nbo-a-1", "java.lang.OutOfMemoryError", "OutOfDirectMemoryError");
		if (answered.get() < 200) {
			return Lab.NOT_RUN;
		}
		return (lost > 3) ? Lab.BROKEN : Lab.HELD;
	}

	private static int answerBytes() {
		double bytes = MEDIAN_BYTES * Math.exp(SPREAD * ThreadLocalRandom.current().nextGaussian());
		return (int) Math.min(MOST_BYTES, bytes);
	}

	private static Map<String, String> headers(String attempt, int tenant) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Attempt-Id", attempt);
		headers.put("Deadline-Ms", Integer.toString(TIMEOUT_MS));
		headers.put("Authorization", "Bearer " + Lab.keyOf(tenant));
		return headers;
	}

	private static void patient(Lab lab, int tenant) {
		while (!isOver) {
			String attempt = null;
			try (Client client = new Client(lab.front("edge-nbo-a-1"))) {
				boolean isKept = true;
				while (isKept && !isOver) {
					attempt = lab.nextAttempt();
					client.send("POST", Lab.HOST, "/note/1", headers(attempt, tenant), new byte[600]);
					Client.Answer answer = client.receive(8_000);
					(answer.isSealed() ? answered : refused).incrementAndGet();
					attempt = null;
					isKept = answer.head().isKeepAlive();
					Lab.sleep(500);
				}
			}
			catch (IOException ex) {
				if (attempt != null) {
					unanswered.add(attempt);
					lab.record("client got no answer attempt=" + attempt + ": " + ex);
				}
				Lab.sleep(500);
			}
		}
	}

	private static void other(Lab lab, int tenant, long leavesAfterMs) {
		try (Client client = new Client(lab.front("edge-nbo-a-1"))) {
			client.send("POST", Lab.HOST, "/note/1", headers(lab.nextAttempt(), tenant), new byte[600]);
			if (leavesAfterMs > 0) {
				Lab.sleep(leavesAfterMs);
				left.incrementAndGet();
				return;
			}
			Client.Answer answer = client.receive(8_000);
			(answer.isSealed() ? answered : refused).incrementAndGet();
		}
		catch (IOException ex) {
			refused.incrementAndGet();
		}
	}

}
