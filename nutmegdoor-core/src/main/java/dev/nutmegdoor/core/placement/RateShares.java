package dev.nutmegdoor.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Divides the rate that a replica accepts from all instances together between them,
 * without messages: all instances that know the same instances get the same result. A low
 * rate is divided between some of the instances only. Each of them may send one request
 * at any time, and these requests together must stay within what the platform tolerates
 * above the rate.
 */
public final class RateShares {

	/** Period in seconds over which the platform counts the requests to a replica. */
	private static final double WINDOW_S = 4;

	/** Fraction of the rate that the platform tolerates in addition. */
	private static final double TOLERATED_FRACTION = 0.5;

	/** Number of requests that the platform tolerates in addition in each window. */
	private static final double TOLERATED_REQUESTS = 5;

	/**
	 * Fraction of the tolerance that simultaneous requests may use. The remainder covers
	 * instances that do not know each other yet.
	 */
	private static final double USED_TOLERANCE = 0.5;

	private final InstanceId self;

	private final Supplier<? extends Collection<InstanceId>> otherInstances;

	/**
	 * Creates the shares of one instance.
	 * @param self this instance
	 * @param otherInstances returns all other instances that send requests
	 */
	public RateShares(InstanceId self, Supplier<? extends Collection<InstanceId>> otherInstances) {
		this.self = self;
		this.otherInstances = otherInstances;
	}

	/**
	 * Returns the shares of an instance that is the only one.
	 * @return shares that consist of the whole rate
	 */
	public static RateShares ofSingleInstance() {
		return new RateShares(new InstanceId("single"), List::of);
	}

	/**
	 * Returns the part of a replica's rate that this instance may use.
	 * @param replica the replica
	 * @param requestsPerSecond rate that the replica accepts from all instances
	 * @return requests per second, 0 if only other instances use the replica
	 */
	public double shareOf(UpstreamId replica, double requestsPerSecond) {
		Collection<InstanceId> others = this.otherInstances.get();
		double tolerance = TOLERATED_FRACTION * requestsPerSecond * WINDOW_S + TOLERATED_REQUESTS;
		int users = (int) Math.max(1, Math.min(others.size() + 1.0, tolerance * USED_TOLERANCE));
		long ownWeight = weight(this.self, replica);
		long precedingInstances = others.stream().filter((other) -> weight(other, replica) > ownWeight).count();
		return (precedingInstances < users) ? requestsPerSecond / users : 0;
	}

	private static long weight(InstanceId instance, UpstreamId replica) {
		return LongHashFunction.xx().hashChars(instance + "/" + replica);
	}

}
