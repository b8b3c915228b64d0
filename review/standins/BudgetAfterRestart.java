import java.util.List;

/**
 * A program's line of turns moves to another zone, is stopped, and returns within the time
 * for which its budget is retained; meanwhile all store machines are killed once.
 */
final class BudgetAfterRestart {

	public static void main(String[] arguments) {
		Lab.main(arguments[0], BudgetAfterRestart::run);
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
		program.turns(gateways.get(0), 14);
		long movedMs = lab.nowMs();
		program.turns(gateways.get(1), 60);
		long stoppedMs = lab.nowMs();
		lab.record("stopped with " + program.lastStatus + " after " + program.tokens + " of " + Program.BUDGET);
		if (program.lastStatus != 402) {
			return Lab.NOT_RUN;
		}
		lab.sleepUntil(movedMs + 71_000);
		if (lab.isTroubled) {
			for (String zone : zones) {
				lab.kill("storage-" + zone + "-1");
			}
			Lab.sleep(800);
			for (int i = 0; i < 3; i++) {
				lab.startLedger("storage-" + zones.get(i) + "-1", zones.get(i), 21 + i, false);
			}
		}
		lab.sleepUntil(movedMs + 74_000);
		lab.record("returns " + (lab.nowMs() - stoppedMs) + " ms after it was stopped");
		if (lab.nowMs() - stoppedMs > Program.RETENTION_MS) {
			return Lab.NOT_RUN;
		}
		program.turns(gateways.get(2), 60);
		for (String zone : zones) {
			lab.recordLog("storage-" + zone + "-1", "ledger.started", "ledger.serving");
		}
		lab.recordLog(gateways.get(2), "budget.refused");
		int most = Program.BUDGET + Program.MOST_OF_A_TURN;
		lab.record("the program got " + program.tokens + " tokens; its budget and one turn are " + most);
		return (program.tokens > most) ? Lab.BROKEN : Lab.HELD;
	}

}
