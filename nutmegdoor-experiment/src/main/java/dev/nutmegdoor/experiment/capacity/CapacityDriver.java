package dev.nutmegdoor.experiment.capacity;

import java.util.List;
import java.util.Locale;

/**
 * What costs grow with, and the sizes at which they are measured. Where a size of two
 * years from now fits on one machine, it is measured itself.
 */
public enum CapacityDriver {

	/** Entry instances. */
	NODES(390) {

		@Override
		List<Integer> sizes() {
			return List.of(9, 30, 90, 390);
		}

	},

	/** Workspaces, each with two keys. */
	WORKSPACES(21_000) {

		@Override
		List<Integer> sizes() {
			return List.of(2_000, 5_000, 10_000, 21_000);
		}

	},

	/** Replicas of 35 models. */
	REPLICAS(600) {

		@Override
		List<Integer> sizes() {
			return List.of(75, 150, 300, 600);
		}

	};

	private final int targetSize;

	CapacityDriver(int targetSize) {
		this.targetSize = targetSize;
	}

	abstract List<Integer> sizes();

	int targetSize() {
		return this.targetSize;
	}

	String displayName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
