package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.openhft.hashing.LongHashFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.lease.LeaseHoldings;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.TimerService;

/**
 * First assignment of the share of a workspace. The store object {@code share/<shard>}
 * names the one instance that created the share; it records the whole share under its
 * lease and then hands parts to the other holders.
 */
final class InitialShareAssignment {

	private static final String KIND = "share";

	private static final int SHARDS = 64;

	private static final long RETRY_MS = 200;

	private static final long DISTRIBUTE_MS = 500;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final ObjectMapper mapper = new ObjectMapper();

	private final InstanceId self;

	private final TimerService timer;

	private final ObjectStore store;

	private final LeaseHoldings holdings;

	private final UniformRandomProvider random;

	private final LocalShares book;

	private final ShareTransfers transfers;

	private final HolderSelector selector;

	private final Set<WorkspaceId> assigned = new HashSet<>();

	private final Set<WorkspaceId> claimed = new HashSet<>();

	private final Map<WorkspaceId, CompletableFuture<Void>> running = new HashMap<>();

	private final Map<WorkspaceId, Long> nextTryMs = new HashMap<>();

	InitialShareAssignment(InstanceId self, TimerService timer, ObjectStore store, LeaseHoldings holdings,
			UniformRandomProvider random, LocalShares book, ShareTransfers transfers, HolderSelector selector) {
		this.self = self;
		this.timer = timer;
		this.store = store;
		this.holdings = holdings;
		this.random = random;
		this.book = book;
		this.transfers = transfers;
		this.selector = selector;
	}

	/**
	 * Creates the share of a workspace unless it exists.
	 * @param workspace the workspace
	 * @return completes when the share exists or can't be created now
	 */
	CompletableFuture<Void> ensure(WorkspaceId workspace) {
		if (this.assigned.contains(workspace)) {
			return CompletableFuture.completedFuture(null);
		}
		return attempt(workspace);
	}

	boolean isAssigned(WorkspaceId workspace) {
		return this.assigned.contains(workspace);
	}

	/**
	 * Creates the share again if its creator was fenced before it had recorded the share;
	 * to be called when no holder has any part of it.
	 * @param workspace the workspace
	 */
	void repair(WorkspaceId workspace) {
		attempt(workspace);
	}

	private CompletableFuture<Void> attempt(WorkspaceId workspace) {
		CompletableFuture<Void> attempt = this.running.get(workspace);
		if (attempt != null) {
			return attempt;
		}
		long nowMs = this.timer.nowMs();
		if (!this.book.isLeaseValid() || nowMs < this.nextTryMs.getOrDefault(workspace, Long.MIN_VALUE)) {
			return CompletableFuture.completedFuture(null);
		}
		this.nextTryMs.put(workspace, nowMs + RETRY_MS + this.random.nextLong(RETRY_MS));
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.running.put(workspace, result);
		read(workspace).whenComplete((ignored, error) -> {
			this.running.remove(workspace);
			result.complete(null);
		});
		return result;
	}

	private CompletableFuture<Void> read(WorkspaceId workspace) {
		return this.store.get(KIND, shard(workspace)).handle((object, error) -> {
			if (error == null) {
				return decide(workspace, object);
			}
			if (failureOf(error) == StoreFailure.NOT_FOUND) {
				return write(workspace, null, new TreeMap<>());
			}
			return done();
		}).thenCompose((next) -> next);
	}

	private CompletableFuture<Void> decide(WorkspaceId workspace, StoredObject object) {
		Map<String, String> creators = parse(object);
		String creator = creators.get(workspace.value());
		if (creator == null) {
			return write(workspace, object, creators);
		}
		this.assigned.add(workspace);
		if (creator.equals(this.self.value())) {
			// The answer to the own write was lost.
			return claim(workspace);
		}
		return this.holdings.finalHoldings(new InstanceId(creator)).thenCompose((last) -> {
			boolean isNeverRecorded = last != null && !last.containsKey(LimitHoldingKeys.created(workspace));
			return isNeverRecorded ? write(workspace, object, creators) : done();
		});
	}

	private CompletableFuture<Void> write(WorkspaceId workspace, @Nullable StoredObject object,
			Map<String, String> creators) {
		creators.put(workspace.value(), this.self.value());
		String value = format(creators);
		CompletableFuture<StoredObject> written = (object != null)
				? this.store.update(KIND, object.name(), object.version(), value)
				: this.store.create(KIND, shard(workspace), value);
		return written.handle((stored, error) -> {
			if (error == null) {
				return claim(workspace);
			}
			// The next attempt reads who created the share.
			return done();
		}).thenCompose((next) -> next);
	}

	private CompletableFuture<Void> claim(WorkspaceId workspace) {
		this.assigned.add(workspace);
		if (!this.claimed.add(workspace)) {
			return done();
		}
		Map<String, Long> changes = new TreeMap<>();
		changes.put(LimitHoldingKeys.units(workspace), Limit.SHARE_UNITS);
		changes.put(LimitHoldingKeys.created(workspace), 1L);
		return this.holdings.record(changes).thenAccept((isDurable) -> {
			// If the lease ends before the record is durable, the lease keeps this
			// instance from using the share, and another one repairs it.
			WorkspaceShare share = this.book.share(workspace);
			this.book.add(share, Limit.SHARE_UNITS, share.limit().capacityMicro(Limit.SHARE_UNITS));
			// Requests that arrive first find all tokens in one place.
			this.timer.schedule(DISTRIBUTE_MS, () -> distribute(this.book.share(workspace)));
		});
	}

	private void distribute(WorkspaceShare share) {
		List<InstanceId> others = new ArrayList<>();
		int burst = share.limit().burst();
		this.selector.holders(share.workspace(), burst).forEach((holder) -> others.add(holder.id()));
		others.remove(this.self);
		// A part that can't hold a whole token is of no use.
		int parts = Math.min(others.size() + 1, burst);
		if (parts < 2 || !this.book.isLeaseValid()) {
			return;
		}
		Bucket bucket = share.bucket();
		long units = bucket.units() / parts;
		long tokens = Math.min(bucket.tokensMicro() / parts, share.limit().capacityMicro(units));
		for (InstanceId other : others.subList(0, parts - 1)) {
			this.transfers.give(share, other, units, tokens);
		}
	}

	private Map<String, String> parse(StoredObject object) {
		try {
			return this.mapper.readValue(object.value(), new TypeReference<TreeMap<String, String>>() {
			});
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("share/" + object.name() + " is malformed", ex);
		}
	}

	private String format(Map<String, String> creators) {
		try {
			return this.mapper.writeValueAsString(creators);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to write a share object", ex);
		}
	}

	private static CompletableFuture<Void> done() {
		return CompletableFuture.completedFuture(null);
	}

	private static String shard(WorkspaceId workspace) {
		return String.valueOf(Math.floorMod(HASH.hashChars(workspace.value()), SHARDS));
	}

	private static StoreFailure failureOf(Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof StoreException ex) ? ex.failure() : StoreFailure.OUTCOME_UNKNOWN;
	}

}
