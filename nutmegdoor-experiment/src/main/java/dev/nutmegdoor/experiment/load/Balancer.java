package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The platform's load balancer: any ready instance, without knowledge of programs.
 */
final class Balancer {

	private static final long POLL_MS = 200;

	private static final CallerRequest READINESS = new CallerRequest("GET", "/readyz", Map.of(), "", false);

	private final List<FleetInstance> instances;

	private final List<FleetInstance> ready;

	private final CallerClient client;

	private final UniformRandomProvider random;

	Balancer(List<FleetInstance> instances, CallerClient client, long seed) {
		this.instances = List.copyOf(instances);
		this.ready = new CopyOnWriteArrayList<>(instances);
		this.client = client;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
	}

	/**
	 * Asks the instances for their readiness until the thread is interrupted.
	 */
	void poll() {
		while (!Thread.currentThread().isInterrupted()) {
			for (FleetInstance instance : this.instances) {
				boolean isReady = this.client.send(instance.address(), READINESS).status() == 200;
				if (!isReady) {
					this.ready.remove(instance);
				}
				else if (!this.ready.contains(instance)) {
					this.ready.add(instance);
				}
			}
			try {
				Thread.sleep(POLL_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	synchronized InetSocketAddress next() {
		List<FleetInstance> candidates = List.copyOf(this.ready);
		if (candidates.isEmpty()) {
			return this.instances.get(0).address();
		}
		return candidates.get(this.random.nextInt(candidates.size())).address();
	}

}
