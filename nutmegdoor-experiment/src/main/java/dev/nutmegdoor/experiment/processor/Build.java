package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A folder with a built version of the project, whose processes are started with the
 * commands of its deploy file.
 *
 * @param name name of the version in the results
 * @param root folder with {@code deploy/system.toml} and {@code target}
 * @param options options of the JVM that are added to each command
 */
record Build(String name, Path root, List<String> options) {

	/**
	 * Returns the command of a role.
	 * @param role name of the role in the deploy file
	 * @return program and arguments
	 */
	List<String> command(String role) {
		boolean isRole = false;
		try {
			for (String line : Files.readAllLines(this.root.resolve("deploy/system.toml"))) {
				if (line.startsWith("[")) {
					isRole = line.equals("[roles." + role + "]");
				}
				else if (isRole && line.startsWith("run")) {
					String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
					List<String> words = new ArrayList<>(Arrays.asList(command.split(" +")));
					words.addAll(words.indexOf("-cp"), this.options);
					return words;
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the deploy file of " + this.root + " can't be read", ex);
		}
		throw new IllegalArgumentException("the deploy file of " + this.root + " has no role " + role);
	}

}
