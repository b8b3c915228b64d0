package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Collects the fields of all extensions for outgoing heartbeats, and dispatches the
 * fields of received heartbeats to the extensions.
 */
final class HeartbeatFields {

	private final List<HeartbeatExtension> extensions = new ArrayList<>();

	void add(HeartbeatExtension extension) {
		this.extensions.add(extension);
	}

	Map<String, String> write() {
		Map<String, String> fields = new HashMap<>();
		for (HeartbeatExtension extension : this.extensions) {
			String value = extension.write();
			if (value != null) {
				fields.put(extension.name(), value);
			}
		}
		return fields;
	}

	void read(InstanceId from, Map<String, String> fields) {
		for (HeartbeatExtension extension : this.extensions) {
			String value = fields.get(extension.name());
			if (value != null) {
				extension.read(from, value);
			}
		}
	}

}
