package dev.nutmegdoor.standin.relay;

/**
 * Which answers a faulty replica writes once more.
 */
enum RepeatedAnswers {

	REFUSALS, RUNS, ALL;

	boolean includes(boolean isRun) {
		return this == ALL || this == (isRun ? RUNS : REFUSALS);
	}

}
