package dev.nutmegdoor.core.reachability;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Selects the instances through which replicas are reached. Keeps to the one that worked
 * last, so that the others are not searched for each request; each instance finds its own
 * at random, which spreads the requests. Not thread-safe.
 */
public final class DetourPeers {

	/** Time in milliseconds for which an instance that reaches no replica is avoided. */
	private static final long AVOIDANCE_MS = 1_000;

	private final UniformRandomProvider random;

	private final Map<InstanceId, Long> avoidedUntilMs = new HashMap<>();

	private @Nullable InstanceId lastUsed;

	public DetourPeers(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Selects instances to try one after the other. Near and far ones alternate, because
	 * an entire availability zone may be partitioned.
	 * @param instances the other instances
	 * @param isNear whether an instance is in the availability zone of this one
	 * @param maxInstances maximum number of instances to try
	 * @param nowMs current time in milliseconds
	 * @return the one that worked last, then near and far ones in random order
	 */
	public List<InstanceId> select(Collection<InstanceId> instances, Predicate<InstanceId> isNear, int maxInstances,
			long nowMs) {
		this.avoidedUntilMs.values().removeIf((untilMs) -> nowMs >= untilMs);
		List<InstanceId> selected = new ArrayList<>();
		InstanceId preferred = this.lastUsed;
		if (preferred != null && instances.contains(preferred)) {
			selected.add(preferred);
		}
		List<InstanceId> candidates = shuffle(instances).stream()
			.filter((instance) -> !this.avoidedUntilMs.containsKey(instance) && !instance.equals(preferred))
			.toList();
		List<InstanceId> near = candidates.stream().filter(isNear).toList();
		List<InstanceId> far = candidates.stream().filter(isNear.negate()).toList();
		for (int i = 0; selected.size() < maxInstances && i < Math.max(near.size(), far.size()); i++) {
			selected.addAll(near.subList(Math.min(i, near.size()), Math.min(i + 1, near.size())));
			selected.addAll(far.subList(Math.min(i, far.size()), Math.min(i + 1, far.size())));
		}
		return selected.subList(0, Math.min(maxInstances, selected.size()));
	}

	private List<InstanceId> shuffle(Collection<InstanceId> instances) {
		List<InstanceId> shuffled = new ArrayList<>(instances);
		shuffled.sort(null);
		for (int i = shuffled.size() - 1; i > 0; i--) {
			Collections.swap(shuffled, i, this.random.nextInt(i + 1));
		}
		return shuffled;
	}

	/**
	 * Records that an instance has reached a replica.
	 * @param instance the instance
	 */
	public void recordReached(InstanceId instance) {
		this.lastUsed = instance;
	}

	/**
	 * Records that an instance has not reached a replica, or was not reached itself.
	 * @param instance the instance
	 * @param isUnavailable whether it is of no use for any replica, so that it is avoided
	 * @param nowMs current time in milliseconds
	 */
	public void recordFailed(InstanceId instance, boolean isUnavailable, long nowMs) {
		if (isUnavailable) {
			this.avoidedUntilMs.put(instance, nowMs + AVOIDANCE_MS);
			if (instance.equals(this.lastUsed)) {
				this.lastUsed = null;
			}
		}
	}

}
