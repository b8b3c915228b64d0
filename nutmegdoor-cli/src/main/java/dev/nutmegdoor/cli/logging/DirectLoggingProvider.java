package dev.nutmegdoor.cli.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.util.ContextInitializer;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Starts Logback with {@link LoggingConfigurator} alone. Logback's own provider searches
 * the class path for configurators and compares versions of its archives, which takes
 * about a fifth of the time of the main thread of a start. Processes of a deployment name
 * this class in the system property {@code slf4j.provider}.
 */
public final class DirectLoggingProvider implements SLF4JServiceProvider {

	private final LoggerContext context = new LoggerContext();

	private final IMarkerFactory markers = new BasicMarkerFactory();

	private final LogbackMDCAdapter mdc = new LogbackMDCAdapter();

	@Override
	public void initialize() {
		this.context.setName("default");
		this.context.setMDCAdapter(this.mdc);
		LoggingConfigurator configurator = new LoggingConfigurator();
		configurator.setContext(this.context);
		if (configurator.configure(this.context) == Configurator.ExecutionStatus.INVOKE_NEXT_IF_ANY) {
			configureFromFile();
		}
		this.context.start();
	}

	private void configureFromFile() {
		try {
			new ContextInitializer(this.context).autoConfig();
		}
		catch (JoranException ex) {
			throw new IllegalStateException("the configuration of the log can't be read", ex);
		}
	}

	@Override
	public ILoggerFactory getLoggerFactory() {
		return this.context;
	}

	@Override
	public IMarkerFactory getMarkerFactory() {
		return this.markers;
	}

	@Override
	public MDCAdapter getMDCAdapter() {
		return this.mdc;
	}

	@Override
	public String getRequestedApiVersion() {
		return "2.0.99";
	}

}
