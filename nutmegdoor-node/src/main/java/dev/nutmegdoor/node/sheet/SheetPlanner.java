package dev.nutmegdoor.node.sheet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.configuration.WorkKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Compares a sheet with the configuration in force. Values are compared, not their texts,
 * so that a sheet that is already in force leads to no edits.
 */
final class SheetPlanner {

	private final Sheet sheet;

	private final Configuration inForce;

	private final List<String> added = new ArrayList<>();

	private final List<String> changed = new ArrayList<>();

	private final List<String> dropped = new ArrayList<>();

	private final List<ConfigurationEdit> edits = new ArrayList<>();

	private final List<SheetError> errors = new ArrayList<>();

	private SheetPlanner(Sheet sheet, Configuration inForce) {
		this.sheet = sheet;
		this.inForce = inForce;
	}

	/**
	 * Plans the load of a sheet.
	 * @param sheet a sheet without errors
	 * @param inForce configuration in force
	 * @param dateInForce date of the sheet loaded last, or {@code null}
	 * @param maxDroppedShare share of the workspaces that may be dropped unforced
	 * @return the plan
	 */
	static SheetPlan plan(Sheet sheet, Configuration inForce, @Nullable String dateInForce, double maxDroppedShare) {
		SheetPlanner planner = new SheetPlanner(sheet, inForce);
		planner.compareWorkKinds();
		Set<String> kept = new HashSet<>();
		for (SheetRow row : sheet.rows()) {
			kept.add(row.workspace());
			planner.compareWorkspace(row);
			planner.compareKeys(row);
		}
		planner.drop(kept);
		if (!sheet.date().equals(dateInForce)) {
			planner.edits
				.add(ConfigurationEdit.merge(ConfigurationSection.SHEET, "loaded", Map.of("date", sheet.date())));
		}
		List<String> concerns = new ArrayList<>();
		// Dates as yyyy-MM-dd sort like their texts.
		if (dateInForce != null && sheet.date().compareTo(dateInForce) < 0) {
			concerns.add("the sheet is of " + sheet.date() + " but one of " + dateInForce + " is in force");
		}
		int before = inForce.workspaces().size();
		if (planner.dropped.size() > maxDroppedShare * before) {
			concerns.add("the sheet drops " + planner.dropped.size() + " of " + before + " workspaces");
		}
		return new SheetPlan(sheet.date(), planner.added, planner.changed, planner.dropped, planner.edits, concerns,
				planner.errors);
	}

	private void compareWorkKinds() {
		for (String kind : new TreeSet<>(this.sheet.kinds())) {
			WorkKind existing = this.inForce.workKinds().get(kind);
			Integer priority = this.sheet.defaultPriorities().get(kind);
			if (priority == null && existing == null) {
				this.errors.add(new SheetError(1, SheetReader.PRIORITY + kind, kind,
						"a kind of work that exists or has a value in the row of defaults '*'"));
			}
			else if (priority != null && (existing == null || existing.priority() != priority)) {
				this.edits
					.add(ConfigurationEdit.merge(ConfigurationSection.WORK_KINDS, kind, Map.of("priority", priority)));
			}
		}
	}

	private void compareWorkspace(SheetRow row) {
		Workspace existing = this.inForce.workspaces().get(new WorkspaceId(row.workspace()));
		Map<String, Integer> priorities = new TreeMap<>();
		if (existing != null) {
			priorities.putAll(existing.workPriorities());
		}
		// Kinds without a column keep their priority; an empty cell returns to the
		// default.
		priorities.keySet().removeAll(this.sheet.kinds());
		priorities.putAll(row.priorities());
		boolean isEqual = existing != null && existing.ratePerSecond() == row.ratePerSecond()
				&& existing.burst() == row.burst() && existing.weight() == row.weight()
				&& existing.workPriorities().equals(priorities);
		if (isEqual) {
			return;
		}
		((existing != null) ? this.changed : this.added).add(row.workspace());
		this.edits.add(ConfigurationEdit.merge(ConfigurationSection.WORKSPACES, row.workspace(), Map.of("ratePerSecond",
				row.ratePerSecond(), "burst", row.burst(), "weight", row.weight(), "workPriorities", priorities)));
	}

	private void compareKeys(SheetRow row) {
		new TreeMap<>(row.keyHashes()).forEach((id, hash) -> {
			CallerKey existing = this.inForce.keys().get(new KeyId(id));
			if (existing == null) {
				this.edits.add(ConfigurationEdit.merge(ConfigurationSection.KEYS, id,
						Map.of("workspace", row.workspace(), "secretHash", hash)));
			}
			else if (!existing.workspace().value().equals(row.workspace()) || !existing.secretHash().equals(hash)) {
				this.errors.add(new SheetError(row.row(), SheetReader.KEYS, id,
						"a new key, or this key with its workspace " + existing.workspace() + " and its hash"));
			}
		});
	}

	private void drop(Set<String> kept) {
		for (WorkspaceId workspace : new TreeSet<>(this.inForce.workspaces().keySet())) {
			if (!kept.contains(workspace.value())) {
				this.dropped.add(workspace.value());
				this.edits.add(ConfigurationEdit.remove(ConfigurationSection.WORKSPACES, workspace.value()));
			}
		}
		Set<String> gone = Set.copyOf(this.dropped);
		this.inForce.keys()
			.values()
			.stream()
			.filter((key) -> gone.contains(key.workspace().value()))
			.forEach((key) -> this.edits.add(ConfigurationEdit.remove(ConfigurationSection.KEYS, key.id().value())));
	}

}
