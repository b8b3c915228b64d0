package dev.nutmegdoor.cli;

import java.lang.reflect.Proxy;

import org.jboss.logging.Logger;

/**
 * Handles SIGHUP, which would otherwise end the JVM. The only interface of the JDK for it
 * is {@code sun.misc.Signal}, which the compiler accepts through reflection alone where
 * warnings are errors.
 */
final class HangupSignal {

	private static final Logger logger = Logger.getLogger(HangupSignal.class);

	private HangupSignal() {
	}

	/**
	 * Runs an action on each SIGHUP.
	 * @param action the action
	 */
	static void handle(Runnable action) {
		try {
			Class<?> signalType = Class.forName("sun.misc.Signal");
			Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
			Object handler = Proxy.newProxyInstance(HangupSignal.class.getClassLoader(), new Class<?>[] { handlerType },
					(proxy, method, arguments) -> {
						logger.info("event=daemon.hangup");
						action.run();
						return null;
					});
			signalType.getMethod("handle", signalType, handlerType)
				.invoke(null, signalType.getConstructor(String.class).newInstance("HUP"), handler);
		}
		catch (ReflectiveOperationException ex) {
			logger.warnf("event=daemon.hangup_unhandled error=\"%s\"", ex);
		}
	}

}
