package dev.nutmegdoor.core.lease;

import java.util.Map;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Takes over the holdings of a fenced instance.
 */
@FunctionalInterface
public interface TakeoverListener {

	/**
	 * Called once this instance is the heir of a fenced one; may be called again for the
	 * same instance after a lost answer of the store, so the listener keeps track of what
	 * it adopted.
	 * @param holder the fenced instance
	 * @param holdings its last holdings
	 */
	void takeOver(InstanceId holder, Map<String, Long> holdings);

}
