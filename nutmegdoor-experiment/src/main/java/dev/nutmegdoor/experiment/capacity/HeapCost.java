package dev.nutmegdoor.experiment.capacity;

import java.util.function.Supplier;

/**
 * Measures the heap that a structure keeps.
 */
final class HeapCost {

	private static final int COLLECTIONS = 4;

	private HeapCost() {
	}

	/**
	 * Measures the heap that is in use because of a structure.
	 * @param builder builds the structure
	 * @return bytes in use with the structure less bytes in use without it
	 */
	static double bytesOf(Supplier<?> builder) {
		long before = used();
		Object kept = builder.get();
		long after = used();
		if (kept == null) {
			throw new IllegalStateException("nothing was built");
		}
		return after - before;
	}

	private static long used() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
