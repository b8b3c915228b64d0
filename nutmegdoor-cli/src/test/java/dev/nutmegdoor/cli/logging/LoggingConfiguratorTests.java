package dev.nutmegdoor.cli.logging;

import java.util.Iterator;
import java.util.ServiceLoader;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

class LoggingConfiguratorTests {

	private final LoggerContext context = new LoggerContext();

	private final KeyValueLayout layout = new KeyValueLayout();

	private ILoggingEvent event(Throwable error) {
		LoggingEvent event = new LoggingEvent("", this.context.getLogger("x"), Level.WARN, "event=x.y key=\"a b\"",
				error, null);
		event.setTimeStamp(1_796_385_600_007L);
		return event;
	}

	// Guards against lines that scripts of operators can't read any more.
	@Test
	void formatsOneLineOfPairs() {
		assertThat(this.layout.doLayout(event(null)),
				is("time=2026-12-04T12:00:00.007Z level=WARN event=x.y key=\"a b\"\n"));
	}

	// Guards against errors whose cause is missing in the log.
	@Test
	void appendsStackTrace() {
		String text = this.layout.doLayout(event(new IllegalStateException("why")));
		assertThat(text.lines().skip(1).findFirst().orElseThrow(), startsWith("java.lang.IllegalStateException: why"));
	}

	// Guards against a set-up that the library doesn't find, so that it reports debug
	// events of all libraries.
	@Test
	void isFoundAndSetsLevels() {
		assertThat(ServiceLoader.load(Configurator.class), hasItem(instanceOf(LoggingConfigurator.class)));
		new LoggingConfigurator().configure(this.context);
		Logger root = this.context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		assertThat(root.getLevel(), is(Level.INFO));
		assertThat(this.context.getLogger("io.netty").getLevel(), is(Level.ERROR));
		Iterator<Appender<ILoggingEvent>> appenders = root.iteratorForAppenders();
		assertThat(appenders.next().getName(), is("ASYNC"));
		this.context.stop();
	}

	// Guards against a provider that reports debug events of all libraries, or none.
	@Test
	void providerStartsTheSameLog() {
		DirectLoggingProvider provider = new DirectLoggingProvider();
		provider.initialize();
		LoggerContext started = (LoggerContext) provider.getLoggerFactory();
		Logger root = started.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		assertThat(root.getLevel(), is(Level.INFO));
		assertThat(root.iteratorForAppenders().next().getName(), is("ASYNC"));
		assertThat(started.isStarted(), is(true));
		started.stop();
	}

}
