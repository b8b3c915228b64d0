package dev.nutmegdoor.core.explain;

/**
 * Receives records of decisions. May be called from any thread.
 */
@FunctionalInterface
public interface DecisionRecorder {

	/** Recorder that discards everything. */
	DecisionRecorder NONE = (record) -> {
	};

	/**
	 * Records a decision.
	 * @param record record with immutable inputs and outcome
	 */
	void record(DecisionRecord record);

}
