package dev.nutmegdoor.experiment.scheduling;

import java.util.Map;

/**
 * Figures of a policy in a scenario at a load: means over the seeds.
 *
 * @param policy policy
 * @param scenario scenario
 * @param load offered work over capacity
 * @param seeds number of seeds
 * @param mean means by name
 * @param confidence95 half widths of the 95 % confidence intervals by name
 */
public record ResultRow(String policy, String scenario, double load, int seeds, Map<String, Double> mean,
		Map<String, Double> confidence95) {

	/**
	 * Returns the mean of a figure.
	 * @param name name of the figure
	 * @return the mean over the seeds, 0 if the row does not have it
	 */
	public double figure(String name) {
		return this.mean.getOrDefault(name, 0.0);
	}

}
