package dev.nutmegdoor.core.lease;

import java.util.Map;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Receives the holdings of fenced instances on the control thread.
 */
@FunctionalInterface
public interface TakeoverListener {

	/**
	 * Called when this instance has become the successor of a fenced instance. May be
	 * called more than once for the same instance, for example if a response of the store
	 * was lost, so the implementation must track which holdings it has taken over.
	 * @param holder the fenced instance
	 * @param holdings last holdings of the fenced instance
	 */
	void takeOver(InstanceId holder, Map<String, Long> holdings);

}
