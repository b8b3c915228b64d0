package dev.nutmegdoor.cli.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Sets up logging in code, since reading an XML file takes a quarter of the processor
 * time of a start. A file that the system property {@value #FILE_PROPERTY} names goes
 * before it.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LoggingConfigurator extends ContextAwareBase implements Configurator {

	static final String FILE_PROPERTY = "logback.configurationFile";

	private static final int QUEUE_LINES = 2_048;

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		if (System.getProperty(FILE_PROPERTY) != null) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		KeyValueLayout layout = new KeyValueLayout();
		layout.setContext(context);
		layout.start();
		LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
		encoder.setContext(context);
		encoder.setLayout(layout);
		encoder.start();
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setName("STDOUT");
		console.setEncoder(encoder);
		console.start();
		// Logging must never hold a request back: a full queue drops lines.
		AsyncAppender async = new AsyncAppender();
		async.setContext(context);
		async.setName("ASYNC");
		async.setQueueSize(QUEUE_LINES);
		async.setDiscardingThreshold(0);
		async.setNeverBlock(true);
		async.addAppender(console);
		async.start();
		// These libraries warn of each connection that a client resets and of the missing
		// hardware address.
		context.getLogger("io.netty").setLevel(Level.ERROR);
		context.getLogger("reactor").setLevel(Level.ERROR);
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(async);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
