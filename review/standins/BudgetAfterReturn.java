import java.util.List;

/**
 * A program's line of turns moves from one zone to another and back while the ledger
 * retains its budget.
 */
final class BudgetAfterReturn {

	public static void main(String[] arguments) {
		Lab.main(arguments[0], BudgetAfterReturn::run);
	}

	private static int run(Lab lab) throws Exception {
		List<String> zones = List.of("nbo-a", "nbo-b", "nbo-c");
		for (int i = 0; i < 3; i++) {
			lab.addReplica("i-llm" + i, "llm", zones.get(i), 16, Lab.STRIDE, 20);
			lab.replicas.get(i).eventsOfAStream = Program.EVENTS_OF_A_TURN;
			lab.addSeed(11 + i);
		}
		lab.configure(7, List.of(Lab.streamRoute()));
		for (int i = 0; i < 3; i++) {
			lab.startLedger("storage-" + zones.get(i) + "-1", zones.get(i), 21 + i, true);
			lab.startGateway("edge-" + zones.get(i) + "-1", zones.get(i), 11 + i, true);
		}
		List<String> gateways = zones.stream().map((zone) -> "edge-" + zone + "-1").toList();
		lab.awaitReady(gateways, 25_000);
		Lab.sleep(3_000);
		Program program = new Program(lab, "3fa81c");
		program.turns(gateways.get(0), 19);
		long movedMs = lab.nowMs();
		program.turns(lab.isTroubled ? gateways.get(1) : gateways.get(0), 60);
		long stoppedMs = lab.nowMs();
		lab.record("stopped with " + program.lastStatus + " after " + program.tokens + " of " + Program.BUDGET);
		lab.sleepUntil(movedMs + 66_000);
		lab.record("returns " + (lab.nowMs() - stoppedMs) + " ms after it was stopped");
		if (program.lastStatus != 402 || lab.nowMs() - stoppedMs > Program.RETENTION_MS) {
			return Lab.NOT_RUN;
		}
		program.turns(gateways.get(0), 60);
		for (String gateway : gateways) {
			lab.recordLog(gateway, "budget.refused", "ledger.");
		}
		int most = Program.BUDGET + Program.MOST_OF_A_TURN;
		lab.record("the program got " + program.tokens + " tokens; its budget and one turn are " + most);
		return (program.tokens > most) ? Lab.BROKEN : Lab.HELD;
	}

}
