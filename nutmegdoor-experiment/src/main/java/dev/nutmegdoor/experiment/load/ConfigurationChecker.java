package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Asks all instances for their configuration version: it never falls, and an accepted
 * version is in force everywhere within the limit.
 */
final class ConfigurationChecker {

	private static final long LIMIT_NS = 3_000_000_000L;

	private static final long POLL_MS = 250;

	private static final CallerRequest STATUS = new CallerRequest("GET", "/status", Map.of(), "", false);

	private static final Pattern VERSION = Pattern.compile("\"configurationVersion\":(\\d+)");

	private final List<FleetInstance> instances;

	private final CallerClient client;

	private final InvariantRegistry invariants;

	private final Map<InetSocketAddress, Long> versions = new ConcurrentHashMap<>();

	private volatile long acceptedVersion;

	private volatile long acceptedNs;

	ConfigurationChecker(List<FleetInstance> instances, CallerClient client, InvariantRegistry invariants) {
		this.instances = List.copyOf(instances);
		this.client = client;
		this.invariants = invariants;
	}

	void accepted(long version) {
		this.acceptedNs = System.nanoTime();
		this.acceptedVersion = version;
	}

	/**
	 * Polls until the thread is interrupted.
	 */
	void poll() {
		while (!Thread.currentThread().isInterrupted()) {
			this.instances.forEach((instance) -> check(instance.address()));
			try {
				Thread.sleep(POLL_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void check(InetSocketAddress address) {
		long askedNs = System.nanoTime();
		long expected = this.acceptedVersion;
		boolean isDue = expected > 0 && askedNs > this.acceptedNs + LIMIT_NS;
		Matcher matcher = VERSION.matcher(this.client.send(address, STATUS).text());
		if (!matcher.find()) {
			return;
		}
		long version = Long.parseLong(matcher.group(1));
		Long previous = this.versions.put(address, version);
		this.invariants.check(Invariant.CONFIGURATION_MONOTONIC,
				(previous == null || version >= previous) && (!isDue || version >= expected), () -> "instance "
						+ address + " has version " + version + " after " + previous + ", accepted is " + expected);
	}

}
