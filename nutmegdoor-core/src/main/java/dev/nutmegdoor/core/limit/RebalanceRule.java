package dev.nutmegdoor.core.limit;

/**
 * Decides how many units a holder transfers to another one that requests more.
 */
public final class RebalanceRule {

	/**
	 * Minimum transfer as a fraction of both shares together. Smaller differences are
	 * noise in the demand estimates.
	 */
	private static final double MIN_SHARE_DIFFERENCE = 0.15;

	private RebalanceRule() {
	}

	/**
	 * Returns the units to transfer so that both shares are proportional to demand and
	 * both can hold at least one whole token.
	 * @param limit rate and burst of the workspace
	 * @param ownUnits units of the donor
	 * @param ownDemandMilli demand at the donor in thousandths of requests per second
	 * @param requesterUnits units of the requesting holder
	 * @param requesterDemandMilli demand at the requesting holder in thousandths of
	 * requests per second
	 * @return units to transfer, from 0 to {@code ownUnits}
	 */
	public static long unitsToGrant(Limit limit, long ownUnits, long ownDemandMilli, long requesterUnits,
			long requesterDemandMilli) {
		long totalUnits = ownUnits + requesterUnits;
		// The baseline, a tenth of the rate, keeps units where the demand is currently
		// low.
		double baselineMilli = 0.1 * limit.rateMilli(totalUnits) + 1;
		double requesterFraction = (requesterDemandMilli + baselineMilli)
				/ (ownDemandMilli + requesterDemandMilli + 2 * baselineMilli);
		long wantedUnits = Math.round(totalUnits * requesterFraction) - requesterUnits;
		if (wantedUnits < MIN_SHARE_DIFFERENCE * totalUnits) {
			return 0;
		}
		long minUnits = (Limit.SHARE_UNITS + limit.burst() - 1) / Math.max(1, limit.burst());
		long maxGrantUnits = Math.max(0, ownUnits - minUnits);
		long grantedUnits = Math.min(wantedUnits, maxGrantUnits);
		return (requesterUnits + grantedUnits >= minUnits) ? grantedUnits : 0;
	}

}
