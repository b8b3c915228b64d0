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
	 * Keeps a record within the memory bound of the instance.
	 * @param record the record
	 */
	void record(DecisionRecord record);

}
