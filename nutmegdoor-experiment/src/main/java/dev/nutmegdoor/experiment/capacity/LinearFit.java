package dev.nutmegdoor.experiment.capacity;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param slope cost for each unit of size
 * @param intercept cost at size 0
 * @param largestError largest distance of a point from the line
 */
public record LinearFit(double slope, double intercept, double largestError) {

	/**
	 * Fits a line.
	 * @param points at least two points of different sizes
	 * @return the line
	 */
	public static LinearFit of(List<CapacityPoint> points) {
		double meanSize = points.stream().mapToDouble(CapacityPoint::size).average().orElseThrow();
		double meanCost = points.stream().mapToDouble(CapacityPoint::cost).average().orElseThrow();
		double covariance = 0;
		double variance = 0;
		for (CapacityPoint point : points) {
			covariance += (point.size() - meanSize) * (point.cost() - meanCost);
			variance += (point.size() - meanSize) * (point.size() - meanSize);
		}
		if (variance == 0) {
			throw new IllegalArgumentException("a fit needs points of different sizes");
		}
		double slope = covariance / variance;
		double intercept = meanCost - slope * meanSize;
		double largestError = points.stream()
			.mapToDouble((point) -> Math.abs(point.cost() - slope * point.size() - intercept))
			.max()
			.orElseThrow();
		return new LinearFit(slope, intercept, largestError);
	}

	/**
	 * Extrapolates the cost.
	 * @param size the size
	 * @return cost at that size
	 */
	public double at(double size) {
		return this.intercept + this.slope * size;
	}

}
