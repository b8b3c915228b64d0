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
 * Logs that this instance holds as a replica for the owners of partitions. A replica's
 * duty does not depend on its own lease: the epoch of the owner decides.
 */
final class ReplicaLog {

	/** A page stays well below the largest frame of 4 MB. */
	private static final int PAGE_CHARACTERS = 500_000;

	private final Map<String, HeldPartition> partitions = new HashMap<>();

	private final EventLog events;

	private final boolean isEpochChecked;

	ReplicaLog(PeerTransport transport, EventLog events, boolean isEpochChecked) {
		this.events = events;
		this.isEpochChecked = isEpochChecked;
		transport.subscribe(AppendRequest.class, (from, request) -> CompletableFuture.completedFuture(append(request)));
		transport.subscribe(LogReadRequest.class, (from, request) -> CompletableFuture.completedFuture(read(request)));
	}

	AppendAnswer append(AppendRequest request) {
		HeldPartition held = partition(request.partition());
		if (isOutdated(held, request.epoch())) {
			this.events.record("replica.refused", "partition", request.partition(), "epoch", request.epoch(), "known",
					held.epoch);
			return new AppendAnswer(false, held.epoch, Map.of(), List.of());
		}
		held.epoch = Math.max(held.epoch, request.epoch());
		held.isSole = request.isSole();
		Map<String, Integer> heads = new HashMap<>();
		Set<ProgramId> rejected = new HashSet<>();
		for (LogEntry entry : request.entries()) {
			if (rejected.contains(entry.program())) {
				continue;
			}
			LogChain known = held.chains.get(entry.program().toString());
			LogChain chain = (known != null) ? known : new LogChain(entry.program());
			if (chain.accept(entry)) {
				held.chains.put(entry.program().toString(), chain);
				heads.put(entry.program().toString(), entry.sequence());
			}
			else {
				// The owner sends the chain again from its start.
				rejected.add(entry.program());
				heads.put(entry.program().toString(), 0);
			}
		}
		request.removed().forEach((program) -> held.chains.remove(program.toString()));
		List<ProgramId> programs = request.isGreeting() ? held.chains.values().stream().map(LogChain::program).toList()
				: List.of();
		return new AppendAnswer(true, held.epoch, heads, programs);
	}

	LogReadAnswer read(LogReadRequest request) {
		HeldPartition held = partition(request.partition());
		if (isOutdated(held, request.epoch())) {
			return new LogReadAnswer(false, held.epoch, List.of(), "");
		}
		held.epoch = Math.max(held.epoch, request.epoch());
		List<LogEntry> entries = new ArrayList<>();
		int characters = 0;
		for (Map.Entry<String, LogChain> chain : held.chains.tailMap(request.afterProgram() + '\0').entrySet()) {
			for (LogEntry entry : chain.getValue().entries()) {
				entries.add(entry);
				characters += entry.body().length();
			}
			if (characters > PAGE_CHARACTERS) {
				return new LogReadAnswer(true, held.epoch, entries, chain.getKey());
			}
		}
		return new LogReadAnswer(true, held.epoch, entries, "");
	}

	int heldPrograms() {
		return this.partitions.values().stream().mapToInt((held) -> held.chains.size()).sum();
	}

	int soleCopies() {
		return (int) this.partitions.values().stream().filter((held) -> held.isSole).count();
	}

	/**
	 * Returns the chain held for a program.
	 * @param program the program
	 * @return the chain, or {@code null} if none is held
	 */
	@Nullable LogChain chain(ProgramId program) {
		HeldPartition held = this.partitions.get(program.partitionName());
		return (held != null) ? held.chains.get(program.toString()) : null;
	}

	private boolean isOutdated(HeldPartition held, long epoch) {
		return this.isEpochChecked && epoch < held.epoch;
	}

	private HeldPartition partition(String name) {
		return this.partitions.computeIfAbsent(name, (key) -> new HeldPartition());
	}

	private static final class HeldPartition {

		private final SortedMap<String, LogChain> chains = new TreeMap<>();

		private long epoch;

		private boolean isSole;

	}

}
