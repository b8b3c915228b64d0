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
 * Queries on which instances of the fleet a version is active.
 */
public final class FleetVersionQuery {

	/** Round-trip time allowed in addition to the wait at the queried instance. */
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
	 * Waits until a version or a later one is active on all reachable instances.
	 * @param version the minimum version to wait for
	 * @param timeoutMs maximum wait in milliseconds
	 * @return on which instances the version is active after the wait; never fails
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
