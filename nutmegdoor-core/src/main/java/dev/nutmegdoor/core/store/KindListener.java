package dev.nutmegdoor.core.store;

import java.util.List;

/**
 * Receives the objects of a kind that a {@link ListWatcher} follows.
 */
public interface KindListener {

	/**
	 * Called with all objects of the kind; what is not among them does not exist.
	 * @param objects the objects
	 */
	void listed(List<StoredObject> objects);

	/**
	 * Called with changes in their order.
	 * @param changes the changes
	 */
	void changed(List<StoreEvent> changes);

}
