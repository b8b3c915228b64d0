package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Collects which counts have changed since the last digest to one group of receivers.
 */
final class PendingCounts {

	private final Map<InstanceId, Set<String>> changedWorkspaces = new LinkedHashMap<>();

	void add(InstanceId instance, Set<String> workspaces) {
		if (!workspaces.isEmpty()) {
			this.changedWorkspaces.computeIfAbsent(instance, (id) -> new HashSet<>()).addAll(workspaces);
		}
	}

	boolean isEmpty() {
		return this.changedWorkspaces.isEmpty();
	}

	/**
	 * Removes and returns all changes.
	 * @param toEntry creates the entry of an instance from its changed workspaces, or
	 * returns {@code null} if nothing is known of it any more
	 * @return one entry for each instance with changes
	 */
	List<UsageEntry> drain(BiFunction<InstanceId, Set<String>, @Nullable UsageEntry> toEntry) {
		List<UsageEntry> entries = new ArrayList<>();
		this.changedWorkspaces.forEach((instance, workspaces) -> {
			UsageEntry entry = toEntry.apply(instance, workspaces);
			if (entry != null) {
				entries.add(entry);
			}
		});
		this.changedWorkspaces.clear();
		return entries;
	}

}
