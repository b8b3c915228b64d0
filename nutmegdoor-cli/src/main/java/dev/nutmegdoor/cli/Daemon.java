package dev.nutmegdoor.cli;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.jboss.logging.Logger;

/**
 * Keeps a process running until SIGTERM or SIGINT and then stops it gracefully.
 */
final class Daemon {

	private static final Logger logger = Logger.getLogger(Daemon.class);

	private Daemon() {
	}

	/**
	 * Waits for the signal. Does not return: the process ends with exit code 0 if the
	 * stop was clean, else 1.
	 * @param stop stops the process; returns whether that was clean
	 * @return never
	 */
	static ExitCode await(Callable<Boolean> stop) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> halt(stop), "shutdown"));
		try {
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.FAILURE;
	}

	private static void halt(Callable<Boolean> stop) {
		ExitCode code = ExitCode.FAILURE;
		try {
			code = stop.call() ? ExitCode.OK : ExitCode.FAILURE;
		}
		catch (Exception ex) {
			logger.errorf(ex, "event=daemon.stop_failed error=\"%s\"", ex);
		}
		// Without this the JVM would report the signal instead of the outcome of the
		// drain.
		Runtime.getRuntime().halt(code.value());
	}

}
