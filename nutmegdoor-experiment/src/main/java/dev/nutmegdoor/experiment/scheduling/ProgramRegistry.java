package dev.nutmegdoor.experiment.scheduling;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.schedule.ProgramSchedulingInfo;
import dev.nutmegdoor.core.schedule.ProgramSchedulingInfoSource;

/**
 * Programs in progress, as their homes know them.
 */
final class ProgramRegistry implements ProgramSchedulingInfoSource {

	private final Map<ProgramId, ProgramSchedulingInfo> facts = new HashMap<>();

	void open(ProgramId program, ProgramId root, long openedAtMs) {
		this.facts.put(program, new ProgramSchedulingInfo(root, openedAtMs));
	}

	void close(ProgramId program) {
		this.facts.remove(program);
	}

	@Override
	public @Nullable ProgramSchedulingInfo schedulingInfoOf(ProgramId program) {
		return this.facts.get(program);
	}

}
