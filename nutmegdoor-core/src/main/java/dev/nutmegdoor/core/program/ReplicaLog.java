package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Logs that this instance stores as a replica for the owners of partitions. A request is
 * accepted or rejected by the epoch of the owner; the lease of the replica is irrelevant.
 */
final class ReplicaLog {

	/** Keeps a page well below the maximum frame size of 4 MB. */
	private static final int MAX_PAGE_CHARACTERS = 500_000;

	private final Map<String, ReplicatedPartition> partitions = new HashMap<>();

	private final EventLog events;

	private final boolean isEpochChecked;

	ReplicaLog(PeerTransport transport, EventLog events, boolean isEpochChecked) {
		this.events = events;
		this.isEpochChecked = isEpochChecked;
		transport.subscribe(AppendRequest.class, (from, request) -> CompletableFuture.completedFuture(append(request)));
		transport.subscribe(LogReadRequest.class, (from, request) -> CompletableFuture.completedFuture(read(request)));
	}

	AppendAnswer append(AppendRequest request) {
		ReplicatedPartition replicatedPartition = partition(request.partition());
		if (isEpochStale(replicatedPartition, request.epoch())) {
			this.events.record("replica.refused", "partition", request.partition(), "epoch", request.epoch(), "known",
					replicatedPartition.epoch);
			return new AppendAnswer(false, replicatedPartition.epoch, Map.of(), List.of());
		}
		replicatedPartition.epoch = Math.max(replicatedPartition.epoch, request.epoch());
		replicatedPartition.isOnlyReplica = request.isSole();
		Map<String, Integer> heads = new HashMap<>();
		Set<ProgramId> rejectedPrograms = new HashSet<>();
		for (LogEntry entry : request.entries()) {
			if (rejectedPrograms.contains(entry.program())) {
				continue;
			}
			LogChain existing = replicatedPartition.chains.get(entry.program().toString());
			LogChain chain = (existing != null) ? existing : new LogChain(entry.program());
			if (chain.accept(entry)) {
				replicatedPartition.chains.put(entry.program().toString(), chain);
				heads.put(entry.program().toString(), entry.sequence());
			}
			else {
				// A head of 0 makes the owner resend the chain from its start.
				rejectedPrograms.add(entry.program());
				heads.put(entry.program().toString(), 0);
			}
		}
		request.removed().forEach((program) -> replicatedPartition.chains.remove(program.toString()));
		List<ProgramId> programs = request.isGreeting()
				? replicatedPartition.chains.values().stream().map(LogChain::program).toList() : List.of();
		return new AppendAnswer(true, replicatedPartition.epoch, heads, programs);
	}

	LogReadAnswer read(LogReadRequest request) {
		ReplicatedPartition replicatedPartition = partition(request.partition());
		if (isEpochStale(replicatedPartition, request.epoch())) {
			return new LogReadAnswer(false, replicatedPartition.epoch, List.of(), "");
		}
		replicatedPartition.epoch = Math.max(replicatedPartition.epoch, request.epoch());
		List<LogEntry> entries = new ArrayList<>();
		int characters = 0;
		for (Map.Entry<String, LogChain> chain : replicatedPartition.chains.tailMap(request.afterProgram() + '\0')
			.entrySet()) {
			for (LogEntry entry : chain.getValue().entries()) {
				entries.add(entry);
				characters += entry.body().length();
			}
			if (characters > MAX_PAGE_CHARACTERS) {
				return new LogReadAnswer(true, replicatedPartition.epoch, entries, chain.getKey());
			}
		}
		return new LogReadAnswer(true, replicatedPartition.epoch, entries, "");
	}

	int replicatedPrograms() {
		return this.partitions.values()
			.stream()
			.mapToInt((replicatedPartition) -> replicatedPartition.chains.size())
			.sum();
	}

	int soleCopies() {
		return (int) this.partitions.values()
			.stream()
			.filter((replicatedPartition) -> replicatedPartition.isOnlyReplica)
			.count();
	}

	/**
	 * Returns the replicated chain of a program.
	 * @param program the program
	 * @return the chain, or {@code null} if none is stored
	 */
	@Nullable LogChain chain(ProgramId program) {
		ReplicatedPartition replicatedPartition = this.partitions.get(program.partitionName());
		return (replicatedPartition != null) ? replicatedPartition.chains.get(program.toString()) : null;
	}

	private boolean isEpochStale(ReplicatedPartition replicatedPartition, long epoch) {
		return this.isEpochChecked && epoch < replicatedPartition.epoch;
	}

	private ReplicatedPartition partition(String name) {
		return this.partitions.computeIfAbsent(name, (key) -> new ReplicatedPartition());
	}

	private static final class ReplicatedPartition {

		private final SortedMap<String, LogChain> chains = new TreeMap<>();

		private long epoch;

		private boolean isOnlyReplica;

	}

}
