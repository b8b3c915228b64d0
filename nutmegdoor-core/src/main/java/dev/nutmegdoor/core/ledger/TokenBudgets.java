package dev.nutmegdoor.core.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Reserves and releases tokens of the budgets of programs for the turns that this
 * instance runs. A turn is granted as soon as the shares of the replicas that have stored
 * its reservation cover it, usually after the first reply. Runs on the control thread.
 */
public final class TokenBudgets {

	private static final long EXPIRY_PERIOD_MS = 5_000;

	private final LedgerDependencies dependencies;

	private final String instanceHolder;

	private final LedgerTable table = new LedgerTable();

	private final Map<String, LedgerEntry> ownEntries = new HashMap<>();

	private final Set<String> releasedPrograms = new LinkedHashSet<>();

	/** Holder of new entries. */
	private String holder;

	private long generation;

	/**
	 * Creates the budgets, subscribes to messages to be forwarded and starts the periodic
	 * updates.
	 * @param dependencies transport, replicas, timer and settings
	 * @param holder identifies this run of the instance in ledger entries
	 */
	public TokenBudgets(LedgerDependencies dependencies, String holder) {
		this.dependencies = dependencies;
		this.instanceHolder = holder;
		this.holder = holder;
		PeerTransport transport = dependencies.transport();
		TimerService timer = dependencies.timer();
		transport.subscribe(LedgerProxyReserve.class, (from, message) -> transport.request(message.replica(),
				message.reserve(), LedgerAnswer.class, dependencies.settings().answerTimeoutMs()));
		transport.subscribe(LedgerProxyUpdate.class, (from, message) -> {
			dependencies.members().all().forEach((member) -> transport.send(member.id(), message.update()));
			return null;
		});
		timer.subscribe(dependencies.settings().updatePeriodMs(), this::sendUpdates);
		timer.subscribe(EXPIRY_PERIOD_MS, this::expire);
	}

	/**
	 * Reserves tokens for a turn.
	 * @param program workspace and identifier of the program
	 * @param tokens maximum number of tokens that the turn generates
	 * @param budgetTokens maximum number of tokens that all turns of the program may
	 * generate
	 * @param retentionMs time after the last change in milliseconds for which the entries
	 * of the program are kept
	 * @return the decision; never completes exceptionally
	 */
	public CompletableFuture<TokenReservation> reserve(String program, long tokens, long budgetTokens,
			long retentionMs) {
		LedgerEntry entry = charge(program, tokens, 0, retentionMs);
		ReservationAttempt attempt = new ReservationAttempt(this.dependencies, this, program, tokens, budgetTokens);
		attempt.send(entry);
		return attempt.result();
	}

	/**
	 * Releases reserved tokens that were not generated. The replicas receive the release
	 * with the next periodic update.
	 * @param program workspace and identifier of the program
	 * @param tokens number of tokens to release
	 */
	public void release(String program, long tokens) {
		LedgerEntry current = this.ownEntries.get(program);
		if (current != null && tokens > 0) {
			charge(program, 0, tokens, current.retentionMs());
			this.releasedPrograms.add(program);
		}
	}

	public int programCount() {
		return this.table.programCount();
	}

	LedgerTable table() {
		return this.table;
	}

	// A turn that is retried after a rejection has released its tokens in the meantime,
	// so it is still recognized as the first one.
	boolean isFirstReservation(String program, long tokens) {
		return this.table.chargedTokens(program) == tokens;
	}

	private LedgerEntry charge(String program, long reservedTokens, long releasedTokens, long retentionMs) {
		LedgerEntry current = this.ownEntries.getOrDefault(program,
				new LedgerEntry(program, this.holder, 0, 0, retentionMs));
		LedgerEntry entry = new LedgerEntry(program, current.holder(), current.reservedTokens() + reservedTokens,
				current.releasedTokens() + releasedTokens, Math.max(retentionMs, current.retentionMs()));
		this.ownEntries.put(program, entry);
		this.table.merge(entry, this.dependencies.timer().nowMs());
		return entry;
	}

	private void sendUpdates() {
		if (this.releasedPrograms.isEmpty()) {
			return;
		}
		List<LedgerEntry> entries = new ArrayList<>();
		for (String program : this.releasedPrograms) {
			LedgerEntry entry = this.ownEntries.get(program);
			if (entry != null) {
				entries.add(entry);
			}
		}
		this.releasedPrograms.clear();
		LedgerUpdate update = new LedgerUpdate(entries);
		boolean hasUnreachable = false;
		for (LedgerMember member : this.dependencies.members().all()) {
			this.dependencies.transport().send(member.id(), update);
			hasUnreachable |= !this.dependencies.members().isReachable(member.id());
		}
		List<InstanceId> proxies = hasUnreachable ? this.dependencies.proxies().reachable() : List.of();
		if (!proxies.isEmpty()) {
			this.dependencies.transport().send(proxies.get(0), new LedgerProxyUpdate(update));
		}
	}

	private void expire() {
		this.table.expire(this.dependencies.timer().nowMs());
		boolean isAnyDropped = this.ownEntries.keySet().removeIf((program) -> this.table.entries(program).isEmpty());
		// Turns through other instances may have kept the dropped entry alive at the
		// replicas. Counts that start at 0 again must not be merged with it.
		if (isAnyDropped) {
			this.generation++;
			this.holder = this.instanceHolder + "#" + this.generation;
		}
	}

	void updateMembers(List<LedgerMember> listedMembers) {
		this.dependencies.members()
			.merge(listedMembers, this.dependencies.timer().nowMs(), this.dependencies.settings().forgetMs(),
					this.dependencies.events());
	}

}
