package dev.nutmegdoor.core.store;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Determines revisions by which changes can be compared with the revision up to which
 * another list is current. A store may report a deletion with the revision of the deleted
 * object, and an object that can't be read has none.
 */
final class ChangeRevisions {

	private ChangeRevisions() {
	}

	/**
	 * Returns changes whose revisions don't decrease. A revision that is not certain is
	 * replaced by that of the next change, or by the revision of the whole response: no
	 * other change of the kind lies between the two, so a list that is current up to a
	 * revision in between can apply the change once more.
	 * @param changes changes of one kind, oldest first
	 * @param afterRevision revision after which the store was asked for changes
	 * @param revision revision up to which the changes are complete
	 * @return the same changes with revisions above the first and at most the last one
	 */
	static List<StoreEvent> of(List<StoreEvent> changes, long afterRevision, long revision) {
		List<StoreEvent> result = new ArrayList<>(changes);
		Collections.reverse(result);
		long bound = revision;
		for (int i = 0; i < result.size(); i++) {
			StoreEvent change = result.get(i);
			boolean isCertain = change.value() != null && change.version() > afterRevision && change.version() <= bound;
			bound = isCertain ? change.version() : bound;
			result.set(i, new StoreEvent(change.kind(), change.name(), bound, change.value()));
		}
		Collections.reverse(result);
		return result;
	}

}
