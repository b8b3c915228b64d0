package dev.nutmegdoor.standin.platform;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import dev.nutmegdoor.platform.WireNames;

/**
 * Changes that a watch reports.
 *
 * @param changes changes since the watched revision
 * @param revision current revision of the store
 * @param isGone whether the watched revision is newer than the store, or changes after it
 * were removed from the log
 */
record WatchPage(List<ObjectChange> changes, long revision, boolean isGone) {

	boolean isFinal() {
		return this.isGone || !this.changes.isEmpty();
	}

	ObjectNode toJson() {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		ArrayNode events = json.putArray(WireNames.EVENTS);
		for (ObjectChange change : this.changes) {
			events.addObject()
				.put(WireNames.DELETED, change.isDeleted())
				.set(WireNames.OBJECT, change.object().toJson());
		}
		return json.put(WireNames.CURRENT_REVISION, this.revision);
	}

}
