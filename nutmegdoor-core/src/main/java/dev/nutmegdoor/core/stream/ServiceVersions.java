package dev.nutmegdoor.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Tracks which software versions serve each service. Runs on the control thread.
 */
final class ServiceVersions {

	private final TimerService timer;

	private final long streamMemoryMs;

	private final Map<String, Service> services = new HashMap<>();

	/**
	 * Creates an instance that knows no service.
	 * @param timer clock
	 * @param streamMemoryMs time in milliseconds after which no stream is taken up any
	 * more
	 */
	ServiceVersions(TimerService timer, long streamMemoryMs) {
		this.timer = timer;
		this.streamMemoryMs = streamMemoryMs;
	}

	static String versionOf(Upstream upstream) {
		String version = upstream.softwareVersion();
		return (version != null) ? version : "";
	}

	/**
	 * Applies the list of replicas.
	 * @param upstreams all replicas that are ready or leaving
	 * @return services in which another version has appeared beside a single one
	 */
	Set<String> apply(Collection<Upstream> upstreams) {
		Map<String, Set<String>> versions = new HashMap<>();
		for (Upstream upstream : upstreams) {
			for (String service : upstream.serves()) {
				versions.computeIfAbsent(service, (name) -> new HashSet<>()).add(versionOf(upstream));
			}
		}
		Set<String> mixedServices = new HashSet<>();
		versions.forEach((name, current) -> {
			Service service = this.services.computeIfAbsent(name, (added) -> new Service());
			if (service.update(current, this.timer.nowMs())) {
				mixedServices.add(name);
			}
		});
		return mixedServices;
	}

	/**
	 * Returns whether all streams of a service that may still be taken up were begun by
	 * the version that serves now.
	 * @param name name of the service
	 * @return {@code false} also for a service that has not been known for long enough
	 */
	boolean isSingleVersion(String name) {
		Service service = this.services.get(name);
		return service != null && service.singleVersion != null
				&& this.timer.nowMs() - service.singleSinceMs >= this.streamMemoryMs;
	}

	private static final class Service {

		private @Nullable String singleVersion;

		private long singleSinceMs;

		// A service whose replicas have all left keeps its version: the next ones may
		// have another.
		private boolean update(Set<String> versions, long nowMs) {
			String onlyVersion = (versions.size() == 1) ? versions.iterator().next() : null;
			boolean isNewlyMixed = onlyVersion == null && this.singleVersion != null;
			if (onlyVersion == null || !onlyVersion.equals(this.singleVersion)) {
				this.singleVersion = onlyVersion;
				this.singleSinceMs = nowMs;
			}
			return isNewlyMixed;
		}

	}

}
