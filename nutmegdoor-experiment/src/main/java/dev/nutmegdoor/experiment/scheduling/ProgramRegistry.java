package dev.nutmegdoor.experiment.scheduling;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.schedule.ProgramFacts;
import dev.nutmegdoor.core.schedule.ProgramFactsSource;

/**
 * Programs in progress, as their homes know them.
 */
final class ProgramRegistry implements ProgramFactsSource {

	private final Map<ProgramId, ProgramFacts> facts = new HashMap<>();

	void open(ProgramId program, ProgramId root, long openedAtMs) {
		this.facts.put(program, new ProgramFacts(root, openedAtMs));
	}

	void close(ProgramId program) {
		this.facts.remove(program);
	}

	@Override
	public @Nullable ProgramFacts factsOf(ProgramId program) {
		return this.facts.get(program);
	}

}
