package dev.nutmegdoor.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import dev.nutmegdoor.platform.WireNames;

/**
 * Object in the store of the stand-in.
 *
 * @param name name, unique within its kind
 * @param revision revision of the last change
 * @param created revision at which the object was created
 * @param spec content that a client wrote
 * @param status reported status, JSON null if none was reported
 */
record ObjectRecord(String name, long revision, long created, JsonNode spec, JsonNode status) {

	static ObjectRecord create(String name, long revision, JsonNode spec) {
		return new ObjectRecord(name, revision, revision, spec, NullNode.instance);
	}

	ObjectRecord withSpec(long newRevision, JsonNode newSpec) {
		return new ObjectRecord(this.name, newRevision, this.created, newSpec, this.status);
	}

	ObjectRecord withStatus(long newRevision, JsonNode newStatus) {
		return new ObjectRecord(this.name, newRevision, this.created, this.spec, newStatus);
	}

	ObjectNode toJson() {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.putObject(WireNames.META)
			.put(WireNames.NAME, this.name)
			.put(WireNames.REVISION, this.revision)
			.put(WireNames.CREATED, this.created)
			.put(WireNames.DELETING, false)
			.putArray(WireNames.FINALIZERS);
		json.set(WireNames.SPEC, this.spec);
		json.set(WireNames.STATUS, this.status);
		return json;
	}

}
