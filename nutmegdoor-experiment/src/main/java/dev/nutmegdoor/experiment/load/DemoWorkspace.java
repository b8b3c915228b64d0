package dev.nutmegdoor.experiment.load;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * A workspace of the demonstration with its caller's key.
 *
 * @param id identifier
 * @param ratePerSecond rate
 * @param burst burst
 * @param weight weight in fair queueing
 * @param key the whole key
 */
public record DemoWorkspace(WorkspaceId id, double ratePerSecond, int burst, int weight, String key) {

	KeyId keyId() {
		return new KeyId(this.id.value() + "-1");
	}

}
