package dev.nutmegdoor.node.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Chooses the upstream with the fewest calls in flight from this instance; equal ones in
 * the own zone first.
 */
final class UpstreamChoice {

	private final ConfigurationView configuration;

	private final AvailabilityZone ownZone;

	private final Map<UpstreamId, Integer> inFlight = new HashMap<>();

	UpstreamChoice(ConfigurationView configuration, AvailabilityZone ownZone) {
		this.configuration = configuration;
		this.ownZone = ownZone;
	}

	/**
	 * Chooses an upstream and counts a call for it.
	 * @param kind kind of the upstream
	 * @param name model or service that it must serve
	 * @param excluded upstreams that were tried already
	 * @return the upstream, if there is one with a free place
	 */
	Optional<Upstream> acquire(UpstreamKind kind, String name, Set<UpstreamId> excluded) {
		Optional<Upstream> best = this.configuration.current()
			.upstreams()
			.values()
			.stream()
			.filter((upstream) -> upstream.kind() == kind && !upstream.isLeaving() && upstream.serves().contains(name)
					&& !excluded.contains(upstream.id()) && inFlight(upstream) < upstream.maxConcurrentCalls())
			.min(Comparator
				.comparingDouble((Upstream upstream) -> (double) inFlight(upstream) / upstream.maxConcurrentCalls())
				.thenComparing((upstream) -> !upstream.availabilityZone().equals(this.ownZone))
				.thenComparing(Upstream::id));
		best.ifPresent((upstream) -> this.inFlight.merge(upstream.id(), 1, Integer::sum));
		return best;
	}

	void release(Upstream upstream) {
		this.inFlight.merge(upstream.id(), -1, Integer::sum);
	}

	private int inFlight(Upstream upstream) {
		return this.inFlight.getOrDefault(upstream.id(), 0);
	}

}
