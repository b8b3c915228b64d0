package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Finds out for an operator whether a version is in force on all reachable instances.
 */
public final class FleetVersionQuery {

	/** Time for the way of a request and its answer. */
	private static final long ROUND_TRIP_MS = 500;

	private final ConfigurationController controller;

	private final PeerTransport transport;

	private final MembershipView membership;

	public FleetVersionQuery(ConfigurationController controller, PeerTransport transport, MembershipView membership) {
		this.controller = controller;
		this.transport = transport;
		this.membership = membership;
		transport.subscribe(ConfigurationVersionRequest.class,
				(from, message) -> controller.awaitVersion(message.version(), message.waitMs())
					.thenApply(ConfigurationAnnouncement::new));
	}

	/**
	 * Waits until a version or a later one is in force on all reachable instances.
	 * @param version the version
	 * @param timeoutMs longest wait in milliseconds
	 * @return where it is in force after the wait
	 */
	public CompletableFuture<FleetVersion> await(long version, long timeoutMs) {
		Map<InstanceId, Long> behind = new TreeMap<>();
		List<InstanceId> unreachable = new ArrayList<>();
		List<InstanceId> upToDate = new ArrayList<>();
		List<CompletableFuture<Void>> pending = new ArrayList<>();
		for (Member member : this.membership.members()) {
			CompletableFuture<Void> done = new CompletableFuture<>();
			pending.add(done);
			queryVersion(member.id(), version, timeoutMs).whenComplete((activeVersion, error) -> {
				if (error != null) {
					unreachable.add(member.id());
				}
				else if (activeVersion < version) {
					behind.put(member.id(), activeVersion);
				}
				else {
					upToDate.add(member.id());
				}
				done.complete(null);
			});
		}
		return CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
			.thenApply((ignored) -> new FleetVersion(version, upToDate.size(), behind, unreachable));
	}

	private CompletableFuture<Long> queryVersion(InstanceId instance, long version, long timeoutMs) {
		if (instance.equals(this.membership.self().id())) {
			return this.controller.awaitVersion(version, timeoutMs);
		}
		return this.transport
			.request(instance, new ConfigurationVersionRequest(version, timeoutMs), ConfigurationAnnouncement.class,
					timeoutMs + ROUND_TRIP_MS)
			.thenApply(ConfigurationAnnouncement::version);
	}

}
