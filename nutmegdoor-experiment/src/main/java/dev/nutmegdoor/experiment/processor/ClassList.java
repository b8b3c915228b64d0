package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * List of classes for a class data archive.
 */
final class ClassList {

	/** Classes that are generated while a process runs can't be archived. */
	private static final Pattern GENERATED = Pattern.compile("[^ ]*(\\$Proxy\\d+|Generated\\w+Accessor\\d*)( .*)?");

	private ClassList() {
	}

	/**
	 * Merges the lists of several processes, classes before forms and lambdas.
	 * @param folder folder with the lists
	 * @param target file that receives the merged list
	 * @throws IOException if a file can't be read or written
	 */
	static void merge(Path folder, Path target) throws IOException {
		Set<String> lines = new LinkedHashSet<>();
		try (Stream<Path> files = Files.list(folder)) {
			List<Path> largestFirst = files
				.sorted(Comparator.comparingLong((Path file) -> file.toFile().length())
					.reversed()
					.thenComparing(Comparator.naturalOrder()))
				.toList();
			for (Path file : largestFirst) {
				lines.addAll(Files.readAllLines(file));
			}
		}
		lines.removeIf((line) -> line.startsWith("#") || GENERATED.matcher(line).matches());
		Files.write(target, lines.stream().sorted(Comparator.comparing((line) -> line.startsWith("@"))).toList());
	}

}
