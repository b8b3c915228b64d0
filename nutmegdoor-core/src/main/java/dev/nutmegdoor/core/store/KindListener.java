package dev.nutmegdoor.core.store;

import java.util.List;

/**
 * Receives the objects of a kind that a {@link ListWatcher} watches. Methods are called
 * on the control thread.
 */
public interface KindListener {

	/**
	 * Called with the complete list of objects of the kind. Objects from earlier calls
	 * that are missing from it have been deleted.
	 * @param objects all objects of the kind in the order of their names
	 */
	void listed(List<StoredObject> objects);

	/**
	 * Called with the changes since the previous call.
	 * @param changes at least one change, oldest first
	 */
	void changed(List<StoreEvent> changes);

}
