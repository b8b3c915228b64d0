package dev.nutmegdoor.experiment.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Requests of one workspace against its rate, as its callers see them. A reference bucket
 * with the whole rate and burst says which requests were within the rate.
 */
final class RateObservation {

	private static final double NS_PER_SECOND = 1e9;

	private static final double[] WINDOW_SECONDS = { 0.1, 0.5, 1, 5, 15, 60 };

	private final DemoWorkspace workspace;

	private final List<long[]> admitted = new ArrayList<>();

	private double referenceTokens;

	private long referenceNs = System.nanoTime();

	private long withinRate;

	private long refusedWithinRate;

	private long referenceAdmitted;

	RateObservation(DemoWorkspace workspace) {
		this.workspace = workspace;
		this.referenceTokens = workspace.burst();
	}

	/**
	 * Asks the reference bucket.
	 * @return whether a request sent now is within the rate
	 */
	synchronized boolean sending() {
		long nowNs = System.nanoTime();
		this.referenceTokens = Math.min(this.workspace.burst(),
				this.referenceTokens + (nowNs - this.referenceNs) / NS_PER_SECOND * this.workspace.ratePerSecond());
		this.referenceNs = nowNs;
		if (this.referenceTokens < 1) {
			return false;
		}
		this.referenceTokens -= 1;
		this.referenceAdmitted++;
		return true;
	}

	/**
	 * Records the outcome of a request.
	 * @param sentNs time before it was sent
	 * @param answeredNs time when its answer had arrived
	 * @param isWithinRate what the reference bucket said
	 * @param outcome the outcome
	 */
	synchronized void answered(long sentNs, long answeredNs, boolean isWithinRate, CallOutcome outcome) {
		if (isWithinRate) {
			this.withinRate++;
			this.refusedWithinRate += outcome.isRateLimited() ? 1 : 0;
		}
		boolean isRefusedBefore = outcome.isRateLimited() || outcome.isConnectionFailure() || outcome.status() == 401
				|| outcome.problem().equals("draining");
		if (!isRefusedBefore) {
			this.admitted.add(new long[] { sentNs, answeredNs });
		}
	}

	synchronized long withinRate() {
		return this.withinRate;
	}

	/**
	 * Returns the refusals of requests within the rate. A workspace above its rate gets
	 * its tokens in another order than the reference bucket hands them out, so only what
	 * it got too few of counts.
	 * @param isAboveRate whether the workspace sends above its rate
	 * @return number of requests
	 */
	synchronized long refusedWithinRate(boolean isAboveRate) {
		return isAboveRate ? Math.max(0, this.referenceAdmitted - this.admitted.size()) : this.refusedWithinRate;
	}

	/**
	 * Checks that no interval has more admitted requests than burst plus rate times its
	 * length. A request counts for an interval only if it was surely admitted within it.
	 * @param invariants registry of the check
	 */
	synchronized void checkRate(InvariantRegistry invariants) {
		List<long[]> sorted = new ArrayList<>(this.admitted);
		sorted.sort(Comparator.comparingLong((interval) -> interval[0]));
		for (double seconds : WINDOW_SECONDS) {
			long lengthNs = (long) (seconds * NS_PER_SECOND);
			double allowed = this.workspace.burst() + this.workspace.ratePerSecond() * seconds;
			for (int i = 0; i < sorted.size(); i++) {
				long startNs = sorted.get(i)[0];
				int count = 0;
				for (int j = i; j < sorted.size() && sorted.get(j)[0] <= startNs + lengthNs; j++) {
					count += (sorted.get(j)[1] <= startNs + lengthNs) ? 1 : 0;
				}
				int admittedCount = count;
				invariants.check(Invariant.RATE_LIMIT, admittedCount <= allowed,
						() -> "workspace " + this.workspace.id() + " had " + admittedCount + " requests admitted in "
								+ seconds + " s, allowed are " + allowed);
			}
		}
	}

}
