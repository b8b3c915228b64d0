package dev.nutmegdoor.core.limit;

/**
 * Decides how much of its share a holder gives to another one that asks for more.
 */
public final class RebalanceRule {

	/** Smaller differences are noise of the demand estimates. */
	private static final double MIN_SHARE_DIFFERENCE = 0.15;

	private RebalanceRule() {
	}

	/**
	 * Returns the units to give: both shares are to be proportional to demand, and
	 * neither is to become too small to hold one whole token.
	 * @param limit rate and burst
	 * @param ownUnits units of the giver
	 * @param ownDemandMilli demand at the giver in thousandths of requests a second
	 * @param requesterUnits units of the asking holder
	 * @param requesterDemandMilli demand at the asking holder
	 * @return the units, 0 to {@code ownUnits}
	 */
	public static long unitsToGrant(Limit limit, long ownUnits, long ownDemandMilli, long requesterUnits,
			long requesterDemandMilli) {
		long totalUnits = ownUnits + requesterUnits;
		// A tenth of the rate keeps a share for a zone whose demand is low at present.
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
