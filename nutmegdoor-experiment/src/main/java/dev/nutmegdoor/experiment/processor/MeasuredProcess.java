package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import dev.nutmegdoor.platform.ProcessSettings;

/**
 * A process whose processor time is measured.
 */
final class MeasuredProcess implements AutoCloseable {

	private static final long END_TIMEOUT_S = 10;

	private final Process process;

	private MeasuredProcess(Process process) {
		this.process = process;
	}

	static MeasuredProcess start(List<String> command, Path folder, Path settings, Path log) {
		try {
			ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
			builder.environment().put(ProcessSettings.PATH_VARIABLE, settings.toString());
			return new MeasuredProcess(builder.start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to start a process in " + folder, ex);
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Returns the user and system time that the process has used.
	 * @return time in milliseconds, with the resolution of the kernel of 10 ms
	 */
	double processorMs() {
		return this.process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L) / 1e6;
	}

	/**
	 * Ends the process without a drain.
	 */
	@Override
	public void close() {
		this.process.destroyForcibly();
		try {
			this.process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
