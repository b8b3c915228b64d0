package dev.nutmegdoor.core.limit;

/**
 * Decides how much of its share a holder gives to another one that asks for more.
 */
public final class RebalanceRule {

	/** Smaller differences are noise of the demand estimates. */
	private static final double MIN_DIFFERENCE = 0.15;

	private RebalanceRule() {
	}

	/**
	 * Returns the units to give: both shares are to be proportional to demand, and
	 * neither is to become too small to hold one whole token.
	 * @param limit rate and burst
	 * @param ownUnits units of the giver
	 * @param ownDemandMilli demand at the giver in thousandths of requests a second
	 * @param otherUnits units of the asking holder
	 * @param otherDemandMilli demand at the asking holder
	 * @return the units, 0 to {@code ownUnits}
	 */
	public static long grant(Limit limit, long ownUnits, long ownDemandMilli, long otherUnits, long otherDemandMilli) {
		long total = ownUnits + otherUnits;
		// A tenth of the rate keeps a share for a zone whose demand is low at present.
		double base = 0.1 * limit.rateMilli(total) + 1;
		double otherPart = (otherDemandMilli + base) / (ownDemandMilli + otherDemandMilli + 2 * base);
		long wanted = Math.round(total * otherPart) - otherUnits;
		if (wanted < MIN_DIFFERENCE * total) {
			return 0;
		}
		long minUnits = (Limit.SHARE_UNITS + limit.burst() - 1) / Math.max(1, limit.burst());
		long most = Math.max(0, ownUnits - minUnits);
		long given = Math.min(wanted, most);
		return (otherUnits + given >= minUnits) ? given : 0;
	}

}
