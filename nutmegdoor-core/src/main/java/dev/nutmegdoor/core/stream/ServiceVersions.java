package dev.nutmegdoor.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
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

	/**
	 * Applies that versions may have come and gone unseen until now.
	 */
	void interrupted() {
		this.services.values().forEach((service) -> service.knownSinceMs = this.timer.nowMs());
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
	 * Returns the versions that serve now.
	 * @param names names of services
	 * @return the version of each service; empty if one of them has not exactly one
	 */
	List<StreamOrigin> onlyVersions(List<String> names) {
		List<StreamOrigin> origins = new ArrayList<>();
		for (String name : names) {
			Service service = this.services.get(name);
			if (service == null || service.versions.size() != 1) {
				return List.of();
			}
			origins.add(new StreamOrigin(name, service.versions.iterator().next()));
		}
		return origins;
	}

	private static final class Service {

		private long knownSinceMs;

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
