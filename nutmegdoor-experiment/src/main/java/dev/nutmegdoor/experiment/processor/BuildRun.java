package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures one build in a deployment of its own.
 */
final class BuildRun implements AutoCloseable {

	private static final int FIRST_GATEWAY = 11;

	private static final int FIRST_LEDGER = 101;

	/** Machines of the processes whose start alone is measured. */
	private static final int FIRST_STARTED = 130;

	private static final long READY_TIMEOUT_MS = 60_000;

	private static final long POLL_MS = 50;

	/** Time after which a started process has made its connections. */
	private static final long SETTLE_MS = 2_500;

	private final Site site;

	private final Build build;

	private final List<MeasuredProcess> gateways = new ArrayList<>();

	private final List<MeasuredProcess> ledgers = new ArrayList<>();

	private final Map<String, List<Double>> figures = new LinkedHashMap<>();

	private int started;

	BuildRun(Site site, Build build) {
		this.site = site;
		this.build = build;
	}

	Map<String, List<Double>> figures() {
		return this.figures;
	}

	private void add(String quantity, double value) {
		this.figures.computeIfAbsent(quantity, (name) -> new ArrayList<>()).add(value);
	}

	/**
	 * Starts gateways and ledger replicas until the deployment has the given size.
	 * @param gatewayCount gateways
	 * @param ledgerCount ledger replicas
	 */
	void grow(int gatewayCount, int ledgerCount) {
		while (this.ledgers.size() < ledgerCount) {
			int number = this.ledgers.size();
			this.ledgers
				.add(this.site.start(this.build, "ledger", "disk-" + number, FIRST_LEDGER + number, FIRST_GATEWAY));
		}
		int first = this.gateways.size();
		while (this.gateways.size() < gatewayCount) {
			int number = this.gateways.size();
			this.gateways
				.add(this.site.start(this.build, "gateway", "edge-" + number, FIRST_GATEWAY + number, FIRST_GATEWAY));
		}
		for (int i = first; i < gatewayCount; i++) {
			awaitReady(this.gateways.get(i), FIRST_GATEWAY + i);
		}
	}

	/**
	 * Starts one more gateway and one more ledger replica, measures and ends them.
	 */
	void measureStarts() {
		int machine = FIRST_STARTED + this.started++;
		try (MeasuredProcess gateway = this.site.start(this.build, "gateway", "started-" + machine, machine,
				FIRST_GATEWAY)) {
			awaitReady(gateway, machine);
			add("gateway until ready, ms", gateway.processorMs());
			sleep(SETTLE_MS);
			add("gateway until 2.5 s later, ms", gateway.processorMs());
		}
		try (MeasuredProcess ledger = this.site.start(this.build, "ledger", "disk-started-" + machine, machine + 30,
				FIRST_GATEWAY)) {
			sleep(SETTLE_MS);
			add("ledger replica, first 2.5 s, ms", ledger.processorMs());
		}
	}

	void measureIdle(long durationMs) {
		double gatewaysMs = total(this.gateways);
		double ledgersMs = total(this.ledgers);
		long startNs = System.nanoTime();
		sleep(durationMs);
		double elapsedMs = (System.nanoTime() - startNs) / 1e6;
		add("gateway without traffic, cores", (total(this.gateways) - gatewaysMs) / this.gateways.size() / elapsedMs);
		add("ledger replica without traffic, cores",
				(total(this.ledgers) - ledgersMs) / this.ledgers.size() / elapsedMs);
	}

	void warmUp(int count) {
		RequestSender.send(this.site.front(FIRST_GATEWAY), count, true);
		RequestSender.send(this.site.front(FIRST_GATEWAY), count, false);
	}

	void measureRequests(int count, boolean isTurn) {
		MeasuredProcess gateway = this.gateways.get(0);
		double beforeMs = gateway.processorMs();
		double ledgersBeforeMs = total(this.ledgers);
		long served = RequestSender.send(this.site.front(FIRST_GATEWAY), count, isTurn);
		String kind = isTurn ? "turn" : "request";
		add(kind + " at the gateway, ms", (gateway.processorMs() - beforeMs) / count);
		if (isTurn) {
			add("turn at the ledger replicas, ms", (total(this.ledgers) - ledgersBeforeMs) / count);
		}
		add(kind + "s served, fraction", (double) served / count);
	}

	private static double total(List<MeasuredProcess> processes) {
		return processes.stream().mapToDouble(MeasuredProcess::processorMs).sum();
	}

	private void awaitReady(MeasuredProcess gateway, int machine) {
		long endNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
		while (!isReady(this.site.readiness(machine))) {
			if (System.nanoTime() > endNs || !gateway.isAlive()) {
				throw new IllegalStateException("a gateway of " + this.build.name() + " does not become ready");
			}
			sleep(POLL_MS);
		}
	}

	private static boolean isReady(InetSocketAddress address) {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + address.getHostString() + ":" + address.getPort() + "/readyz")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(1_000);
			connection.setReadTimeout(1_000);
			boolean isOk = connection.getResponseCode() == HttpURLConnection.HTTP_OK;
			connection.disconnect();
			return isOk;
		}
		catch (IOException ex) {
			return false;
		}
	}

	static void sleep(long durationMs) {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	@Override
	public void close() {
		this.gateways.forEach(MeasuredProcess::close);
		this.ledgers.forEach(MeasuredProcess::close);
	}

}
