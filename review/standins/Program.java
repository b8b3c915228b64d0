import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** An agent program that sends turns until its budget is spent. */
final class Program {

	static final int MOST_OF_A_TURN = 132;

	/** RetainS of the small deployment. */
	static final int RETENTION_MS = 60_000;

	/** Pause between two turns in milliseconds; the sheet allows 600. */
	static final int PAUSE_MS = 600;

	/** Events of each turn; 5.67 in the mean on the sheet. */
	static final int EVENTS_OF_A_TURN = 4;

	private static final int TIME_OBJECTIVE_MS = 100_000;

	static final int BUDGET = 8 * MOST_OF_A_TURN;

	private final Lab lab;

	private final String id;

	int tokens;

	int lastStatus;

	private final long begunMs;

	Program(Lab lab, String id) {
		this.lab = lab;
		this.id = id;
		this.begunMs = lab.nowMs();
	}

	/** Sends turns through one gateway; returns how many were served. */
	int turns(String gateway, int most) {
		int served = 0;
		for (int turn = 0; turn < most; turn++) {
			if (!turn(gateway)) {
				break;
			}
			served++;
			Lab.sleep(PAUSE_MS);
		}
		return served;
	}

	// Sends a turn, and once more if it was refused for another reason than the budget.
	private boolean turn(String gateway) {
		for (int tries = 0; tries < 3; tries++) {
			int status = send(gateway);
			if (status == 200 || status == 402) {
				return status == 200;
			}
			Lab.sleep(300);
		}
		return false;
	}

	private int send(String gateway) {
		String attempt = this.lab.nextAttempt();
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Attempt-Id", attempt);
		headers.put("Program-Id", this.id);
		headers.put("Session-Id", "s" + this.id);
		headers.put("Program-Deadline-Ms",
				Long.toString(TIME_OBJECTIVE_MS - (this.lab.nowMs() - this.begunMs)));
		headers.put("Token-Budget", Integer.toString(BUDGET));
		headers.put("Token-Usage", "1460," + MOST_OF_A_TURN);
		headers.put("Model", "m");
		headers.put("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660");
		headers.put("Deadline-Ms", "3000");
		headers.put("Authorization", "Bearer " + Lab.KEY);
		this.lab.record("client sends turn of program " + this.id + " attempt=" + attempt + " through " + gateway);
		try (Client client = new Client(this.lab.front(gateway))) {
			client.send("POST", Lab.HOST, "/quote/1", headers, "{\"quote\":true}".getBytes());
			Client.Answer answer = client.receive(4_000);
			int events = (int) answer.body().lines().filter((line) -> line.startsWith("id: ")).count();
			if (answer.isSealed()) {
				this.tokens += events * Lab.STRIDE;
			}
			this.lastStatus = answer.status();
			this.lab.record("client got " + answer.status() + " attempt=" + attempt + " events=" + events
					+ " tokens of the program=" + this.tokens
					+ (events > 0 ? "" : " head=" + answer.head().headers + " body=" + answer.body()));
			return answer.status();
		}
		catch (IOException ex) {
			this.lab.record("client got no answer attempt=" + attempt + ": " + ex);
			return 0;
		}
	}

}
