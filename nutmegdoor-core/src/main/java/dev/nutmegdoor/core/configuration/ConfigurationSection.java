package dev.nutmegdoor.core.configuration;

import java.util.List;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Sections of a configuration and the JSON form of their items.
 */
public enum ConfigurationSection {

	/** Workspaces by identifier. */
	WORKSPACES("workspaces") {

		@Override
		void read(String id, FieldReader fields, ConfigurationItems items) {
			WorkspaceId workspace = new WorkspaceId(id);
			items.workspaces.put(workspace,
					new Workspace(workspace, fields.readDouble("ratePerSecond", 0, MAX_RATE_PER_SECOND),
							(int) fields.readLong("burst", 1, 10_000_000, null),
							(int) fields.readLong("weight", 1, 1_000_000, 1L),
							fields.readIntegers("workPriorities", 0, MAX_PRIORITY),
							readBudget(fields.readObject("budget"))));
		}

	},

	/** Callers' keys by identifier. */
	KEYS("keys") {

		@Override
		void read(String id, FieldReader fields, ConfigurationItems items) {
			KeyId key = new KeyId(id);
			String workspace = fields.readText("workspace", "the identifier of a workspace",
					ConfigurationSection::isIdentifier);
			String secretHash = fields.readText("secretHash", "64 lower-case hexadecimal digits",
					(text) -> SHA_256.matcher(text).matches());
			if (!workspace.isEmpty()) {
				items.keys.put(key, new CallerKey(key, new WorkspaceId(workspace), secretHash));
			}
		}

	},

	/** Kinds of work by name. */
	WORK_KINDS("workKinds") {

		@Override
		void read(String id, FieldReader fields, ConfigurationItems items) {
			items.workKinds.put(id, new WorkKind(id, (int) fields.readLong("priority", 0, MAX_PRIORITY, null)));
		}

	},

	/** Operations of services by {@code <service>/<operation>}. */
	OPERATIONS("operations") {

		@Override
		void read(String id, FieldReader fields, ConfigurationItems items) {
			int slash = id.indexOf('/');
			if (slash < 1 || slash == id.length() - 1) {
				throw new IllegalArgumentException("must be <service>/<operation>");
			}
			items.operations.put(id, new ServiceOperation(id.substring(0, slash), id.substring(slash + 1),
					fields.readEnum("repeatability", Repeatability.values()), fields.readBoolean("isQueryable")));
		}

	},

	/** Upstreams by identifier. */
	UPSTREAMS("upstreams") {

		@Override
		void read(String id, FieldReader fields, ConfigurationItems items) {
			UpstreamId upstream = new UpstreamId(id);
			String zone = fields.readText("zone", "the name of a zone", ConfigurationSection::isIdentifier);
			if (!zone.isEmpty()) {
				items.upstreams.put(upstream,
						new Upstream(upstream, fields.readEnum("kind", UpstreamKind.values()),
								new AvailabilityZone(zone),
								fields.readText("host", "an IP number", (text) -> IP_ADDRESS.matcher(text).matches()),
								(int) fields.readLong("port", 1, 65_535, null), fields.readTexts("serves"),
								(int) fields.readLong("maxConcurrentCalls", 1, 100_000, null),
								fields.readBoolean("isFencingChecked"), fields.readBoolean("isLeaving")));
			}
		}

	},

	/** Sheets; the item {@code loaded} holds the date of the most recently loaded one. */
	SHEET("sheet") {

		@Override
		void read(String id, FieldReader fields, ConfigurationItems items) {
			String date = fields.readText("date", "a date as yyyy-MM-dd", (text) -> DATE.matcher(text).matches());
			items.sheetDates.put(id, date);
		}

	};

	/** Maximum rate; a share of it in micro-tokens per second still fits into 64 bits. */
	private static final double MAX_RATE_PER_SECOND = 1_000_000;

	private static final int MAX_PRIORITY = 1_000;

	private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]{7,15}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*");

	private static final Pattern DATE = Pattern.compile("\\d{4}-\\d{2}-\\d{2}");

	private static final Pattern IDENTIFIER = Pattern.compile("[^\\s/\\p{Cntrl}]{1,128}");

	private final String jsonName;

	ConfigurationSection(String jsonName) {
		this.jsonName = jsonName;
	}

	/**
	 * Returns the name of the section in JSON and in paths.
	 * @return the name
	 */
	public String jsonName() {
		return this.jsonName;
	}

	static @Nullable ConfigurationSection find(String jsonName) {
		for (ConfigurationSection section : values()) {
			if (section.jsonName.equals(jsonName)) {
				return section;
			}
		}
		return null;
	}

	abstract void read(String id, FieldReader fields, ConfigurationItems items);

	/**
	 * Reads one item. An item with errors is not added to {@code items}.
	 * @param id identifier of the item
	 * @param node JSON form of the item
	 * @param items collection to which a valid item is added
	 * @param errors list to which the errors of the item are added
	 */
	void readItem(String id, JsonNode node, ConfigurationItems items, List<ConfigurationError> errors) {
		String path = this.jsonName + "/" + id;
		int previousErrorCount = errors.size();
		ConfigurationItems parsedItem = new ConfigurationItems();
		try {
			read(id, new FieldReader(path, node, errors), parsedItem);
		}
		catch (IllegalArgumentException ex) {
			errors.add(new ConfigurationError(path, id, "a valid identifier: " + ex.getMessage()));
		}
		if (errors.size() == previousErrorCount) {
			items.addAll(parsedItem);
		}
	}

	private static boolean isIdentifier(String text) {
		return IDENTIFIER.matcher(text).matches();
	}

	private static ProgramBudget readBudget(@Nullable FieldReader fields) {
		ProgramBudget defaults = ProgramBudget.DEFAULT;
		if (fields == null) {
			return defaults;
		}
		return new ProgramBudget(fields.readLong("maxTokens", 1, Long.MAX_VALUE, defaults.maxTokens()),
				(int) fields.readLong("maxCalls", 1, Integer.MAX_VALUE, (long) defaults.maxCalls()),
				fields.readLong("maxDurationMs", 1, Long.MAX_VALUE, defaults.maxDurationMs()),
				(int) fields.readLong("maxDepth", 0, 100, (long) defaults.maxDepth()));
	}

}
