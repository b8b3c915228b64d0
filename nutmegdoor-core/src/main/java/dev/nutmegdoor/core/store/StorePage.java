package dev.nutmegdoor.core.store;

import java.util.List;

/**
 * Objects of one kind at one point in time.
 *
 * @param objects the objects in the order of their names
 * @param version version of the kind, from which a watch continues without a gap
 */
public record StorePage(List<StoredObject> objects, long version) {

	public StorePage {
		objects = List.copyOf(objects);
	}

}
