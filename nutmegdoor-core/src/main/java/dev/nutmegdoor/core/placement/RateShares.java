package dev.nutmegdoor.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
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

	/**
	 * Fraction of the requests that a cold replica survives which the shares add up to.
	 * The remainder covers instances that others do not know yet. With 0.6, 70 instances
	 * of which 35 did not know each other sent 46 requests to a replica that survives 45.
	 */
	private static final double USED_COLD_TOLERANCE = 0.5;

	private final InstanceId self;

	private final Supplier<? extends Collection<InstanceId>> otherInstances;

	private final BooleanSupplier areOthersKnown;

	/**
	 * Creates the shares of one instance.
	 * @param self this instance
	 * @param otherInstances returns all other instances that send requests
	 */
	public RateShares(InstanceId self, Supplier<? extends Collection<InstanceId>> otherInstances) {
		this(self, otherInstances, () -> true);
	}

	/**
	 * Creates the shares of one instance that may not know the others yet.
	 * @param self this instance
	 * @param otherInstances returns all other instances that send requests
	 * @param areOthersKnown whether all instances that were listed at the start of this
	 * one are among them
	 */
	public RateShares(InstanceId self, Supplier<? extends Collection<InstanceId>> otherInstances,
			BooleanSupplier areOthersKnown) {
		this.self = self;
		this.otherInstances = otherInstances;
		this.areOthersKnown = areOthersKnown;
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

	/**
	 * Returns the number of requests that this instance may have under way to a cold
	 * replica. The numbers of all instances add up to a part of those that the replica
	 * survives. An instance that knows more others than a second one, such as some that
	 * have stopped, gets at most the number that it would get with the view of the second
	 * one, so only instances that others don't know can raise the sum.
	 * @param replica the replica
	 * @param survivedRequests number of requests in one window that the replica survives
	 * @return number of requests, 0 if only other instances use the replica or the others
	 * are not known yet
	 */
	int coldShareOf(UpstreamId replica, double survivedRequests) {
		if (!this.areOthersKnown.getAsBoolean()) {
			return 0;
		}
		Collection<InstanceId> others = this.otherInstances.get();
		long requests = (long) (survivedRequests * USED_COLD_TOLERANCE);
		long ownWeight = weight(this.self, replica);
		long precedingInstances = others.stream().filter((other) -> weight(other, replica) > ownWeight).count();
		int instances = others.size() + 1;
		return (int) Math.max(0, (requests - precedingInstances + instances - 1) / instances);
	}

	private static long weight(InstanceId instance, UpstreamId replica) {
		return LongHashFunction.xx().hashChars(instance + "/" + replica);
	}

}
