package dev.nutmegdoor.experiment.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Measures all quantities at several sizes.
 */
public final class CapacityExperiment {

	private CapacityExperiment() {
	}

	/**
	 * Runs all measurements; takes a few minutes.
	 * @param progress receives the name of each quantity before it is measured
	 * @return a row for each quantity
	 */
	public static List<CapacityRow> run(Consumer<String> progress) {
		List<CapacityRow> rows = new ArrayList<>();
		for (CapacityQuantity quantity : CapacityQuantity.values()) {
			progress.accept(quantity.name());
			rows.add(quantity.row());
		}
		return rows;
	}

}
