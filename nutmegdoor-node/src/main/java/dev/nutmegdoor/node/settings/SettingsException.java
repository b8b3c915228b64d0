package dev.nutmegdoor.node.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * All problems of the settings of a process.
 */
public class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient List<SettingsProblem> problems;

	public SettingsException(List<SettingsProblem> problems) {
		super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
		this.problems = List.copyOf(problems);
	}

	public List<SettingsProblem> problems() {
		return this.problems;
	}

}
