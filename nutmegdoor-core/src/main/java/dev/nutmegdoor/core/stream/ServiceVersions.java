package dev.nutmegdoor.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

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
	 * @return services in which another version has appeared
	 */
	Set<String> apply(Collection<Upstream> upstreams) {
		Map<String, Set<String>> versions = new HashMap<>();
		for (Upstream upstream : upstreams) {
			for (String service : upstream.serves()) {
				versions.computeIfAbsent(service, (name) -> new HashSet<>()).add(versionOf(upstream));
			}
		}
		Set<String> changedServices = new HashSet<>();
		versions.forEach((name, current) -> {
			Service service = this.services.computeIfAbsent(name, (added) -> new Service(this.timer.nowMs()));
			if (service.update(current, this.timer.nowMs())) {
				changedServices.add(name);
			}
		});
		return changedServices;
	}

	VersionHistory history(String name) {
		Service service = this.services.get(name);
		if (service == null) {
			return VersionHistory.UNKNOWN;
		}
		long nowMs = this.timer.nowMs();
		if (service.severalUntilMs > nowMs - this.streamMemoryMs || service.versions.size() > 1) {
			return VersionHistory.SEVERAL;
		}
		return (service.knownSinceMs > nowMs - this.streamMemoryMs) ? VersionHistory.UNKNOWN : VersionHistory.SINGLE;
	}

	/**
	 * Returns the version of a service with a single one.
	 * @param name name of a service whose history is {@link VersionHistory#SINGLE}
	 * @return service and version
	 */
	StreamOrigin onlyVersion(String name) {
		Service service = this.services.get(name);
		if (service == null || service.versions.size() != 1) {
			throw new IllegalArgumentException("service " + name + " does not have exactly one version");
		}
		return new StreamOrigin(name, service.versions.iterator().next());
	}

	private static final class Service {

		private final long knownSinceMs;

		private Set<String> versions = Set.of();

		/** Last time at which there were several versions, or one replaced another. */
		private long severalUntilMs = Long.MIN_VALUE / 2;

		private Service(long knownSinceMs) {
			this.knownSinceMs = knownSinceMs;
		}

		// A service whose replicas have all left keeps its versions: the next ones may
		// have another.
		private boolean update(Set<String> current, long nowMs) {
			boolean isNew = !this.versions.isEmpty() && !this.versions.containsAll(current);
			if (isNew || current.size() > 1 || this.versions.size() > 1) {
				this.severalUntilMs = nowMs;
			}
			this.versions = Set.copyOf(current);
			return isNew;
		}

	}

}
