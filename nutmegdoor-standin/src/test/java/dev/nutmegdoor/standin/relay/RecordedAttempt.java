package dev.nutmegdoor.standin.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What the replicas and the client of one attempt did, in the order in which it happened.
 */
final class RecordedAttempt {

	final String id;

	private final boolean isIdentified;

	private final String path;

	private final long startedNs = System.nanoTime();

	private final List<Run> runs = new ArrayList<>();

	private final List<String> events = new ArrayList<>();

	private final Map<String, Send> lastSends = new HashMap<>();

	private int sends;

	RecordedAttempt(String id, boolean isIdentified, String path) {
		this.id = id;
		this.isIdentified = isIdentified;
		this.path = path;
	}

	/** Returns whether a request or response with this identifier, if any, is its own. */
	boolean isIdentifiedBy(String attemptId) {
		return this.isIdentified ? this.id.equals(attemptId) : attemptId == null;
	}

	/** Returns whether this body of a response with status 400 is its own. */
	boolean isAnsweredWithoutId(String body) {
		return !this.isIdentified && (body.isEmpty() || body.equals(RepetitionPlan.withoutId(this.id).body()));
	}

	/** Returns the route with the size of its service. */
	String service() {
		return this.path.replaceAll("/([a-z]+[0-9]+)/.*", "$1");
	}

	/** Returns whether the request may run only once. */
	boolean isUnsafe() {
		return this.path.startsWith("/once") || this.path.startsWith("/turnonce");
	}

	synchronized int sent(String replica, int connection) {
		this.lastSends.put(replica + "." + connection, new Send(this.sends));
		record("received by " + replica + " on connection " + connection);
		return this.sends++;
	}

	synchronized void ran(String seal) {
		this.runs.add(new Run(seal));
	}

	/**
	 * Records an answer before it is written, so that no client has it earlier.
	 */
	synchronized void answered(String replica, int connection, int send, int status, String seal, String body) {
		record("answered by " + replica + " on connection " + connection + " with " + status + " "
				+ ((seal != null) ? seal : "not run"));
		Send last = this.lastSends.get(replica + "." + connection);
		if (send == last.number) {
			last.status = status;
		}
		this.runs.stream().filter((run) -> run.seal.equals(seal)).forEach((run) -> {
			run.connection = replica + "." + connection;
			run.status = status;
			run.body = body;
		});
	}

	synchronized void record(String event) {
		this.events.add(String.format(Locale.ROOT, "%8.1f ms %s", (System.nanoTime() - this.startedNs) / 1e6, event));
	}

	synchronized int runCount() {
		return this.runs.size();
	}

	/**
	 * Returns the status with which the replica answered the last send on the connection
	 * of a run. Sends on other connections may overlap with it and have no order.
	 * @param seal seal of the run
	 * @return the status, 0 if there is no such run
	 */
	synchronized int lastStatusOnConnectionOf(String seal) {
		return this.runs.stream()
			.filter((run) -> run.seal.equals(seal) && run.connection != null)
			.mapToInt((run) -> this.lastSends.get(run.connection).status)
			.findFirst()
			.orElse(0);
	}

	/**
	 * Returns whether a run was answered with this status and seal.
	 */
	synchronized boolean hasAnswer(int status, String seal) {
		return this.runs.stream().anyMatch((run) -> run.status == status && run.seal.equals(seal));
	}

	synchronized boolean hasAnswer(int status, String seal, String body) {
		return this.runs.stream()
			.anyMatch((run) -> run.status == status && run.seal.equals(seal) && body.equals(run.body));
	}

	@Override
	public synchronized String toString() {
		return "attempt " + this.id + " " + this.path + "\n\t" + String.join("\n\t", this.events);
	}

	private static final class Run {

		private final String seal;

		private String connection;

		private int status;

		private String body;

		private Run(String seal) {
			this.seal = seal;
		}

	}

	private static final class Send {

		private final int number;

		private int status;

		private Send(int number) {
			this.number = number;
		}

	}

}
