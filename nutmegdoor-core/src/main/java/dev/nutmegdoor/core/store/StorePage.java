package dev.nutmegdoor.core.store;

import java.util.List;

/**
 * Objects of one kind as of one version.
 *
 * @param objects the objects in the order of their names
 * @param version version as of which the objects were listed; a watch from it continues
 * without a gap
 */
public record StorePage(List<StoredObject> objects, long version) {

	public StorePage {
		objects = List.copyOf(objects);
	}

}
