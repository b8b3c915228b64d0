package dev.nutmegdoor.experiment.capacity;

import java.util.List;

/**
 * Growth of one cost.
 *
 * @param quantity name of the cost
 * @param unit unit of the cost
 * @param driver what the cost grows with
 * @param points measured points
 * @param fit line through the points
 * @param targetSize size of two years from now
 * @param atTarget extrapolated cost at that size
 */
public record CapacityRow(String quantity, String unit, String driver, List<CapacityPoint> points, LinearFit fit,
		int targetSize, double atTarget) {

	public CapacityRow {
		points = List.copyOf(points);
	}

}
