package dev.nutmegdoor.core.configuration;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * Change of one item of a configuration.
 *
 * @param section JSON name of the section
 * @param id identifier of the item
 * @param value JSON object whose fields replace those of the item, or {@code null} to
 * remove the item
 * @param isReplacement whether {@code value} replaces the complete item; otherwise fields
 * that it lacks keep their values
 */
public record ConfigurationEdit(String section, String id, @Nullable String value, boolean isReplacement) {

	/**
	 * Creates an edit that sets the given fields of an item and keeps its other fields,
	 * or creates the item.
	 * @param section section of the item
	 * @param id identifier of the item
	 * @param fields new values by field name
	 * @return an edit that is not a replacement
	 */
	public static ConfigurationEdit merge(ConfigurationSection section, String id, Map<String, ?> fields) {
		return new ConfigurationEdit(section.jsonName(), id, ConfigurationJson.write(fields), false);
	}

	/**
	 * Creates an edit that removes an item.
	 * @param section section of the item
	 * @param id identifier of the item
	 * @return an edit without a value
	 */
	public static ConfigurationEdit remove(ConfigurationSection section, String id) {
		return new ConfigurationEdit(section.jsonName(), id, null, true);
	}

	/**
	 * Returns the path of the edited item.
	 * @return {@code <section>/<id>}
	 */
	public String path() {
		return this.section + "/" + this.id;
	}

	@Nullable JsonNode applyTo(@Nullable JsonNode item) {
		if (this.value == null) {
			return null;
		}
		JsonNode newItem = ConfigurationJson.parse(this.value);
		if (!this.isReplacement && item instanceof ObjectNode existing && newItem instanceof ObjectNode fields) {
			ObjectNode merged = existing.deepCopy();
			merged.setAll(fields);
			return merged;
		}
		return newItem;
	}

}
