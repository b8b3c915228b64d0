package dev.nutmegdoor.core.program;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * A partition that this instance owns, with its log and its programs.
 */
final class PartitionHome {

	private final String name;

	private final PartitionLog log;

	private final Map<ProgramId, ProgramState> programs = new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));

	private PartitionHint hint;

	private boolean isFrozen;

	private int runningCalls;

	PartitionHome(PartitionHint hint, PartitionLog log) {
		this.name = hint.partition();
		this.hint = hint;
		this.log = log;
		log.chains().forEach((program, chain) -> {
			ProgramState state = new ProgramState(program);
			chain.entries().forEach(state::apply);
			this.programs.put(program, state);
		});
	}

	String name() {
		return this.name;
	}

	PartitionLog log() {
		return this.log;
	}

	PartitionHint hint() {
		return this.hint;
	}

	void setHint(PartitionHint hint) {
		this.hint = hint;
	}

	Map<ProgramId, ProgramState> programs() {
		return this.programs;
	}

	@Nullable ProgramState program(ProgramId id) {
		return this.programs.get(id);
	}

	boolean isLost() {
		return this.log.lostReason() != null;
	}

	boolean isFrozen() {
		return this.isFrozen;
	}

	/**
	 * Sets whether new programs and new calls are rejected. Callers can still attach to
	 * calls in progress.
	 * @param isFrozen {@code true} while the partition is being handed over
	 */
	void setFrozen(boolean isFrozen) {
		this.isFrozen = isFrozen;
	}

	boolean isIdle() {
		return this.runningCalls == 0;
	}

	void callStarted() {
		this.runningCalls++;
	}

	void callEnded() {
		this.runningCalls--;
	}

	/**
	 * Adds an entry to a program's log and applies it to the program's state immediately.
	 * @param program program of the entry
	 * @param type type of the entry
	 * @param body body record that belongs to the type, written as JSON
	 * @param isStrict whether all replicas of the record must have stored the entry
	 * @return completes when the entry is durable; fails with {@link HomeLostException}
	 * if the partition is lost before that
	 */
	CompletableFuture<LogEntry> append(ProgramId program, EntryType type, Object body, boolean isStrict) {
		if (isLost()) {
			return CompletableFuture.failedFuture(new HomeLostException("partition " + this.name + " was lost"));
		}
		LogEntry entry = this.log.add(program, type, body);
		this.programs.computeIfAbsent(program, ProgramState::new).apply(entry);
		return this.log.awaitAcknowledgement(entry, isStrict);
	}

	void remove(ProgramId program) {
		this.programs.remove(program);
		this.log.remove(program);
	}

}
