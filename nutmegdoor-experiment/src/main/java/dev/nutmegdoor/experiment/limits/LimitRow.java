package dev.nutmegdoor.experiment.limits;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Figures of one mechanism in one scenario over all seeds.
 *
 * @param mechanism the mechanism
 * @param scenario the scenario
 * @param seeds number of seeds
 * @param offered requests
 * @param offeredWithinRate requests that an exact central bucket would have admitted
 * @param refusedWithinRate of these, requests that were refused
 * @param refusedShare refused within the rate divided by offered within the rate
 * @param refusedShareConfidence half of the 95 % confidence interval of the mean of that
 * share over seeds
 * @param forcedRefusals refusals within the rate that the cut-off share makes unavoidable
 * @param overAdmitted requests admitted beyond burst plus rate times T
 * @param messagesPerSecond messages between all instances a second, those for membership
 * and leases included
 * @param violations violations counted inside the program
 */
public record LimitRow(String mechanism, String scenario, int seeds, long offered,
		@JsonProperty("offered_within_rate") long offeredWithinRate,
		@JsonProperty("refused_within_rate") long refusedWithinRate, @JsonProperty("refused_share") double refusedShare,
		@JsonProperty("refused_share_confidence") double refusedShareConfidence,
		@JsonProperty("forced_refusals") long forcedRefusals, @JsonProperty("over_admitted") long overAdmitted,
		@JsonProperty("messages_per_second") double messagesPerSecond, long violations) {

	private static final double NORMAL_95 = 1.96;

	static LimitRow summarize(LimitMechanism mechanism, LimitScenario scenario, List<LimitOutcome> outcomes) {
		long within = outcomes.stream().mapToLong(LimitOutcome::offeredWithinRate).sum();
		long refused = outcomes.stream().mapToLong(LimitOutcome::refusedWithinRate).sum();
		double[] shares = outcomes.stream()
			.mapToDouble((outcome) -> (double) outcome.refusedWithinRate() / Math.max(1, outcome.offeredWithinRate()))
			.toArray();
		double mean = 0;
		for (double share : shares) {
			mean += share / shares.length;
		}
		double squares = 0;
		for (double share : shares) {
			squares += (share - mean) * (share - mean);
		}
		double deviation = (shares.length > 1) ? Math.sqrt(squares / (shares.length - 1)) : 0;
		return new LimitRow(mechanism.label(), scenario.label(), outcomes.size(),
				outcomes.stream().mapToLong(LimitOutcome::offered).sum(), within, refused,
				(double) refused / Math.max(1, within), NORMAL_95 * deviation / Math.sqrt(shares.length),
				outcomes.stream().mapToLong(LimitOutcome::forcedRefusals).sum(),
				outcomes.stream().mapToLong(LimitOutcome::overAdmitted).sum(),
				outcomes.stream().mapToDouble(LimitOutcome::messagesPerSecond).average().orElse(0),
				outcomes.stream().mapToLong(LimitOutcome::violations).sum());
	}

}
