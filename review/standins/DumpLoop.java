import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Asks a gateway for its state without a pause and counts the requests without an answer. No
 * case of the review, because no rule judges these answers: entry 7 of KNOWN-RED.txt.
 */
final class DumpLoop {

	private static final int CLIENTS = 4;

	private static final int LENGTH_MS = 90_000;

	private static final int ANSWER_TIMEOUT_MS = 20_000;

	private static final int READY_PORT = 8369;

	private static volatile boolean isOver;

	public static void main(String[] arguments) {
		Lab.main(arguments[0], DumpLoop::run);
	}

	private static int run(Lab lab) throws Exception {
		lab.addReplica("i-app0", "app", "nbo-a", 6, 0, 100);
		lab.addSeed(11);
		lab.configure(7, List.of(Lab.unsafeRoute("order", 6000, 1)));
		lab.startGateway("edge-nbo-a-1", "nbo-a", 11, true);
		lab.awaitReady(List.of("edge-nbo-a-1"), 25_000);
		AtomicInteger answered = new AtomicInteger();
		AtomicInteger lost = new AtomicInteger();
		for (int i = 0; i < CLIENTS; i++) {
			boolean isConnectionKept = i % 2 == 0;
			lab.daemon("dump", () -> ask(lab, isConnectionKept, answered, lost));
		}
		Lab.sleep(LENGTH_MS);
		isOver = true;
		lab.record("answered=" + answered + " lost=" + lost);
		return (lost.get() > 0) ? Lab.BROKEN : Lab.HELD;
	}

	private static void ask(Lab lab, boolean isConnectionKept, AtomicInteger answered, AtomicInteger lost) {
		while (!isOver) {
			try (Client client = new Client(new InetSocketAddress(lab.address(11), READY_PORT))) {
				do {
					client.send("GET", "ready", "/dump", Map.of(), null);
					client.receive(ANSWER_TIMEOUT_MS);
					answered.incrementAndGet();
				}
				while (isConnectionKept && !isOver);
			}
			catch (IOException ex) {
				if (!isOver) {
					lost.incrementAndGet();
					lab.record("no answer after " + answered + " answers: " + ex);
				}
			}
		}
	}

}
