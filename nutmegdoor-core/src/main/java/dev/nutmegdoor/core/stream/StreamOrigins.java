package dev.nutmegdoor.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.FollowedList;
import dev.nutmegdoor.core.store.InterruptionListener;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Finds the software version that began a stream. While replicas of several versions
 * serve, or while the list of replicas may be behind, each instance tells two or three
 * others of each stream that it sends to a replica, before the first event arrives.
 * Rendezvous hashing chooses them by the client's attempt, so every instance knows whom
 * to ask, also when the one that began the stream has been killed. Runs on the control
 * thread.
 */
public final class StreamOrigins implements InterruptionListener {

	/** Instances that remember a stream; one of them may be the one that began it. */
	private static final int HOLDERS = 3;

	/**
	 * Time in milliseconds for which a stream is remembered. A client takes up a stream
	 * within the deadline of its request.
	 */
	private static final long MEMORY_MS = 30_000;

	/**
	 * Time in milliseconds within which a holder answers; several round trips between
	 * zones.
	 */
	private static final long QUERY_TIMEOUT_MS = 150;

	private static final int MAX_REMEMBERED = 50_000;

	private final PeerTransport transport;

	private final Supplier<? extends Collection<InstanceId>> otherInstances;

	private final FollowedList replicas;

	private final TimerService timer;

	private final EventLog events;

	private final ServiceVersions versions;

	private final Map<Long, Entry> remembered = new LinkedHashMap<>();

	/**
	 * Creates an instance, subscribes it to the list of replicas and to messages of other
	 * instances.
	 * @param transport sends messages to other instances
	 * @param otherInstances returns the other instances
	 * @param configuration list of replicas
	 * @param replicas confirms that the list of replicas is up to date
	 * @param timer clock
	 * @param events log of streams whose origin is not known here
	 */
	public StreamOrigins(PeerTransport transport, Supplier<? extends Collection<InstanceId>> otherInstances,
			ConfigurationView configuration, FollowedList replicas, TimerService timer, EventLog events) {
		this.transport = transport;
		this.otherInstances = otherInstances;
		this.replicas = replicas;
		this.timer = timer;
		this.events = events;
		this.versions = new ServiceVersions(timer, MEMORY_MS);
		apply(configuration.current());
		configuration.subscribe(this::apply);
		replicas.subscribe(this);
		transport.subscribe(StreamBegun.class, (from, begun) -> {
			remember(begun.attempt(), new Entry(begun.origin(), false, true, this.timer.nowMs()));
			return null;
		});
		transport.subscribe(StreamOriginQuery.class,
				(from, query) -> CompletableFuture.completedFuture(answer(query.attempt(), query.services())));
	}

	private void apply(Configuration current) {
		Set<String> changedServices = this.versions.apply(current.upstreams().values());
		if (changedServices.isEmpty()) {
			return;
		}
		this.events.record("service.versions-mixed", "services", changedServices);
		// Streams that run now may be taken up elsewhere while both versions serve.
		this.remembered.forEach((attempt, entry) -> {
			if (entry.isOwn && changedServices.contains(entry.origin.service())) {
				tellHolders(attempt, entry.origin);
			}
		});
	}

	// Streams that run now may be taken up where the list can't be confirmed either.
	@Override
	public void interrupted() {
		long oldestMs = this.timer.nowMs() - MEMORY_MS;
		this.remembered.replaceAll((attempt, entry) -> {
			if (!entry.isOwn || entry.isTold || entry.rememberedMs < oldestMs) {
				return entry;
			}
			tellHolders(attempt, entry.origin);
			return new Entry(entry.origin, true, true, entry.rememberedMs);
		});
	}

	@Override
	public void listed() {
		this.versions.interrupted();
	}

	/**
	 * Records that a stream is sent to a replica. The last call for an attempt counts: an
	 * attempt is sent again only if no event has arrived.
	 * @param attemptId identifier of the client's attempt
	 * @param service service of the stream
	 * @param replica the replica
	 */
	public void began(String attemptId, String service, Upstream replica) {
		long attempt = keyOf(attemptId);
		StreamOrigin origin = new StreamOrigin(service, ServiceVersions.versionOf(replica));
		boolean isTold = this.versions.history(service) != VersionHistory.SINGLE || !this.replicas.isFollowed();
		remember(attempt, new Entry(origin, true, isTold, this.timer.nowMs()));
		if (isTold) {
			tellHolders(attempt, origin);
		}
	}

	/**
	 * Finds out where a stream may go on. Other instances are asked also if one version
	 * serves as far as this instance knows. A version that nobody remembers is taken only
	 * if the store confirms this instance's list of replicas after this call: silence of
	 * the others proves nothing, and those who answer may be behind as well.
	 * @param attemptId identifier of the attempt that brought its first event, or
	 * {@code null} if the client does not name it
	 * @param services services that may have begun it
	 * @return the target; completes on the control thread and never fails
	 */
	public CompletableFuture<ResumeTarget> find(@Nullable String attemptId, List<String> services) {
		long attempt = (attemptId != null) ? keyOf(attemptId) : 0;
		StreamOriginAnswer own = answer(attempt, services);
		if (own.remembered() != null) {
			return CompletableFuture.completedFuture(new ResumeTarget(List.of(own.remembered())));
		}
		CompletableFuture<ResumeTarget> result = new CompletableFuture<>();
		List<StreamOriginAnswer> answers = new ArrayList<>();
		List<CompletableFuture<?>> pending = new ArrayList<>();
		for (InstanceId holder : holdersOf(attempt)) {
			pending.add(this.transport
				.request(holder, new StreamOriginQuery(attempt, services), StreamOriginAnswer.class, QUERY_TIMEOUT_MS)
				.thenAccept((received) -> {
					answers.add(received);
					StreamOrigin told = received.remembered();
					if (told != null) {
						result.complete(new ResumeTarget(List.of(told)));
					}
				}));
		}
		int asked = pending.size();
		CompletableFuture<Boolean> confirmation = own.isAmbiguous() ? CompletableFuture.completedFuture(false)
				: this.replicas.confirm();
		pending.add(confirmation);
		CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0])).whenComplete((ignored, error) -> {
			boolean isConfirmed = confirmation.join();
			ResumeTarget target = conclude(attempt, services, answers, isConfirmed);
			if (result.complete(target)) {
				this.events.record(target.origins().isEmpty() ? "stream.origin-unknown" : "stream.origin-concluded",
						"attempt", String.valueOf(attemptId), "services", services, "origins", target.origins(),
						"confirmed", isConfirmed, "revision", this.replicas.revision(), "asked", asked, "answers",
						answers.size(), "error", String.valueOf(error));
			}
		});
		return result;
	}

	private ResumeTarget conclude(long attempt, List<String> services, List<StreamOriginAnswer> answers,
			boolean isConfirmed) {
		StreamOriginAnswer own = answer(attempt, services);
		if (own.remembered() != null) {
			return new ResumeTarget(List.of(own.remembered()));
		}
		if (!isConfirmed || own.isAmbiguous() || answers.stream().anyMatch(StreamOriginAnswer::isAmbiguous)) {
			return ResumeTarget.UNKNOWN;
		}
		List<StreamOrigin> listed = this.versions.onlyVersions(services);
		List<List<StreamOrigin>> opinions = answers.stream()
			.map(StreamOriginAnswer::onlyVersions)
			.filter((onlyVersions) -> !onlyVersions.isEmpty())
			.toList();
		// An instance that has not known the services for long needs one that has.
		boolean isHistoryKnown = !own.onlyVersions().isEmpty() || !opinions.isEmpty();
		return (isHistoryKnown && opinions.stream().allMatch(listed::equals)) ? new ResumeTarget(listed)
				: ResumeTarget.UNKNOWN;
	}

	private StreamOriginAnswer answer(long attempt, List<String> services) {
		Entry entry = this.remembered.get(attempt);
		List<VersionHistory> histories = services.stream().map(this.versions::history).toList();
		boolean isSingle = histories.stream().allMatch((history) -> history == VersionHistory.SINGLE);
		return new StreamOriginAnswer((entry != null) ? entry.origin : null, histories.contains(VersionHistory.SEVERAL),
				isSingle ? this.versions.onlyVersions(services) : List.of());
	}

	private void remember(long attempt, Entry entry) {
		this.remembered.remove(attempt);
		this.remembered.put(attempt, entry);
		long oldestMs = this.timer.nowMs() - MEMORY_MS;
		Iterator<Entry> eldest = this.remembered.values().iterator();
		while (eldest.hasNext()) {
			if (eldest.next().rememberedMs >= oldestMs && this.remembered.size() <= MAX_REMEMBERED) {
				break;
			}
			eldest.remove();
		}
	}

	private void tellHolders(long attempt, StreamOrigin origin) {
		this.transport.sendAll(holdersOf(attempt), new StreamBegun(attempt, origin));
	}

	// This instance is ranked as well, so that all instances arrive at the same holders.
	private List<InstanceId> holdersOf(long attempt) {
		InstanceId self = this.transport.self();
		List<InstanceId> ranked = new ArrayList<>(this.otherInstances.get());
		ranked.add(self);
		ranked.sort(Comparator.comparingLong((id) -> LongHashFunction.xx(attempt).hashChars(id.value())));
		List<InstanceId> holders = new ArrayList<>(ranked.subList(0, Math.min(HOLDERS, ranked.size())));
		holders.remove(self);
		return holders;
	}

	private static long keyOf(String attemptId) {
		return LongHashFunction.xx().hashChars(attemptId);
	}

	/**
	 * A stream that is remembered.
	 *
	 * @param origin where it began
	 * @param isOwn whether this instance sent it
	 * @param isTold whether other instances have been told of it
	 * @param rememberedMs time at which it began or was told of, in milliseconds
	 */
	private record Entry(StreamOrigin origin, boolean isOwn, boolean isTold, long rememberedMs) {

	}

}
