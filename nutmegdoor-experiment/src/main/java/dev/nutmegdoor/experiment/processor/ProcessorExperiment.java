package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Measures the processor time of real processes: of a start, of a process without
 * traffic, of a request and of a turn. With a second build, each start is measured for
 * both builds in turn and all other quantities for both at the same time, so that their
 * ratio doesn't depend on the load of the machine.
 */
public final class ProcessorExperiment {

	private static final long SETTLE_MS = 6_000;

	/** Requests before the measured ones, while most code is not compiled yet. */
	private static final int WARM_UP_DIVISOR = 2;

	private ProcessorExperiment() {
	}

	/**
	 * Runs the measurement.
	 * @param root folder of this build
	 * @param other folder of the build to compare with, or {@code null}
	 * @param options sizes of the run
	 * @param progress receives the name of each step
	 * @return the medians; ratios refer to the other build, if there is one
	 */
	public static List<ProcessorRow> run(Path root, @Nullable Path other, ProcessorOptions options,
			Consumer<String> progress) {
		List<Build> builds = new ArrayList<>();
		if (other != null) {
			builds.add(new Build("other", other.toAbsolutePath(), List.of()));
		}
		builds.add(new Build("this", root.toAbsolutePath(), List.of()));
		return inFolder((folder) -> measure(builds, folder, options, progress));
	}

	/**
	 * Records the classes that a gateway and a ledger replica load, for the class data
	 * archive of the build.
	 * @param root folder of this build
	 * @param target file that receives the list
	 * @param options sizes of the deployment whose classes are recorded
	 */
	public static void recordClasses(Path root, Path target, ProcessorOptions options) {
		inFolder((folder) -> {
			Path lists = Files.createDirectories(folder.resolve("lists"));
			Build build = new Build("this", root.toAbsolutePath(),
					List.of("-Xshare:off", "-XX:DumpLoadedClassList=" + lists + "/%p.lst"));
			try (Site site = new Site(subnet(), folder); BuildRun run = new BuildRun(site, build)) {
				run.grow(options.gateways(), options.ledgers());
				BuildRun.sleep(SETTLE_MS);
				run.measureRequests(options.requests(), true);
				run.measureRequests(options.requests(), false);
			}
			ClassList.merge(lists, target);
			return List.of();
		});
	}

	private static List<ProcessorRow> measure(List<Build> builds, Path folder, ProcessorOptions options,
			Consumer<String> progress) throws IOException {
		List<Site> sites = new ArrayList<>();
		List<BuildRun> runs = new ArrayList<>();
		try {
			for (Build build : builds) {
				Site site = new Site(subnet(), Files.createDirectories(folder.resolve(build.name())));
				sites.add(site);
				runs.add(new BuildRun(site, build));
			}
			progress.accept("starts");
			runs.forEach((run) -> run.grow(Math.min(3, options.gateways()), options.ledgers()));
			for (int i = 0; i < options.starts(); i++) {
				runs.forEach(BuildRun::measureStarts);
			}
			progress.accept("without traffic");
			// A deployment that started earlier has compiled more of its code.
			inParallel(runs, (run) -> run.grow(options.gateways(), options.ledgers()));
			BuildRun.sleep(SETTLE_MS);
			inParallel(runs, (run) -> run.measureIdle(options.idleMs()));
			progress.accept("requests");
			inParallel(runs, (run) -> run.warmUp(Math.max(1, options.requests() / WARM_UP_DIVISOR)));
			inParallel(runs, (run) -> run.measureRequests(options.requests(), true));
			inParallel(runs, (run) -> run.measureRequests(options.requests(), false));
			return rows(builds, runs);
		}
		finally {
			runs.forEach(BuildRun::close);
			sites.forEach(Site::close);
		}
	}

	private static void inParallel(List<BuildRun> runs, Consumer<BuildRun> step) {
		runs.parallelStream().forEach(step);
	}

	private static List<ProcessorRow> rows(List<Build> builds, List<BuildRun> runs) {
		List<ProcessorRow> rows = new ArrayList<>();
		runs.get(0).figures().forEach((quantity, firstValues) -> {
			double first = median(firstValues);
			for (int i = 0; i < runs.size(); i++) {
				double value = median(runs.get(i).figures().getOrDefault(quantity, List.of()));
				rows.add(new ProcessorRow(quantity, builds.get(i).name(), value, value / first));
			}
		});
		return rows;
	}

	private static double median(List<Double> values) {
		List<Double> sorted = values.stream().sorted().toList();
		return sorted.isEmpty() ? Double.NaN
				: (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
	}

	private static String subnet() {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		return "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + ".";
	}

	private static List<ProcessorRow> inFolder(FolderTask task) {
		try {
			Path folder = Files.createTempDirectory("processor");
			try {
				return task.run(folder);
			}
			finally {
				try (Stream<Path> files = Files.walk(folder)) {
					for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
						Files.deleteIfExists(file);
					}
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the temporary folder can't be used", ex);
		}
	}

	private interface FolderTask {

		List<ProcessorRow> run(Path folder) throws IOException;

	}

}
