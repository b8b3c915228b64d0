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
 * Creates the share of a workspace exactly once. The store object {@code share/<shard>}
 * names the instance that created the share. The creator records the entire share under
 * its lease and then transfers equal parts to the other holders.
 */
final class InitialShareAssignment {

	private static final String OBJECT_KIND = "share";

	private static final int SHARD_COUNT = 64;

	private static final long RETRY_MS = 200;

	private static final long DISTRIBUTE_DELAY_MS = 500;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final ObjectMapper mapper = new ObjectMapper();

	private final InstanceId self;

	private final TimerService timer;

	private final ObjectStore store;

	private final LeaseHoldings holdings;

	private final UniformRandomProvider random;

	private final LocalShares localShares;

	private final ShareTransfers transfers;

	private final HolderSelector selector;

	private final Set<WorkspaceId> assigned = new HashSet<>();

	private final Set<WorkspaceId> recordedAsCreator = new HashSet<>();

	private final Map<WorkspaceId, CompletableFuture<Void>> runningAttempts = new HashMap<>();

	private final Map<WorkspaceId, Long> nextAttemptMs = new HashMap<>();

	InitialShareAssignment(InstanceId self, TimerService timer, ObjectStore store, LeaseHoldings holdings,
			UniformRandomProvider random, LocalShares localShares, ShareTransfers transfers, HolderSelector selector) {
		this.self = self;
		this.timer = timer;
		this.store = store;
		this.holdings = holdings;
		this.random = random;
		this.localShares = localShares;
		this.transfers = transfers;
		this.selector = selector;
	}

	/**
	 * Creates the share of a workspace unless it exists.
	 * @param workspace workspace of the share
	 * @return completes once the share exists or the attempt has failed; never fails
	 */
	CompletableFuture<Void> ensureAssigned(WorkspaceId workspace) {
		if (this.assigned.contains(workspace)) {
			return CompletableFuture.completedFuture(null);
		}
		return startAttempt(workspace);
	}

	boolean isAssigned(WorkspaceId workspace) {
		return this.assigned.contains(workspace);
	}

	/**
	 * Creates the share again if its creator was fenced before it had recorded the share.
	 * Called when no holder is known to have any part of it.
	 * @param workspace workspace of the share
	 */
	void repair(WorkspaceId workspace) {
		startAttempt(workspace);
	}

	private CompletableFuture<Void> startAttempt(WorkspaceId workspace) {
		CompletableFuture<Void> runningAttempt = this.runningAttempts.get(workspace);
		if (runningAttempt != null) {
			return runningAttempt;
		}
		long nowMs = this.timer.nowMs();
		if (!this.localShares.isLeaseValid() || nowMs < this.nextAttemptMs.getOrDefault(workspace, Long.MIN_VALUE)) {
			return CompletableFuture.completedFuture(null);
		}
		this.nextAttemptMs.put(workspace, nowMs + RETRY_MS + this.random.nextLong(RETRY_MS));
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.runningAttempts.put(workspace, result);
		readCreators(workspace).whenComplete((ignored, error) -> {
			this.runningAttempts.remove(workspace);
			result.complete(null);
		});
		return result;
	}

	private CompletableFuture<Void> readCreators(WorkspaceId workspace) {
		return this.store.get(OBJECT_KIND, shard(workspace)).handle((object, error) -> {
			if (error == null) {
				return handleStored(workspace, object);
			}
			if (failureOf(error) == StoreFailure.NOT_FOUND) {
				return writeCreator(workspace, null, new TreeMap<>());
			}
			return completed();
		}).thenCompose((next) -> next);
	}

	private CompletableFuture<Void> handleStored(WorkspaceId workspace, StoredObject object) {
		Map<String, String> creators = parseCreators(object);
		String creator = creators.get(workspace.value());
		if (creator == null) {
			return writeCreator(workspace, object, creators);
		}
		this.assigned.add(workspace);
		if (creator.equals(this.self.value())) {
			// This instance wrote the object, but the response of the store was lost.
			return recordCreatedShare(workspace);
		}
		return this.holdings.finalHoldings(new InstanceId(creator)).thenCompose((finalEntries) -> {
			boolean isUnrecorded = finalEntries != null
					&& !finalEntries.containsKey(LimitHoldingKeys.created(workspace));
			return isUnrecorded ? writeCreator(workspace, object, creators) : completed();
		});
	}

	private CompletableFuture<Void> writeCreator(WorkspaceId workspace, @Nullable StoredObject object,
			Map<String, String> creators) {
		creators.put(workspace.value(), this.self.value());
		String creatorsJson = formatCreators(creators);
		CompletableFuture<StoredObject> written = (object != null)
				? this.store.update(OBJECT_KIND, object.name(), object.version(), creatorsJson)
				: this.store.create(OBJECT_KIND, shard(workspace), creatorsJson);
		return written.handle((stored, error) -> {
			if (error == null) {
				return recordCreatedShare(workspace);
			}
			// The next attempt reads the creator from the store.
			return completed();
		}).thenCompose((next) -> next);
	}

	private CompletableFuture<Void> recordCreatedShare(WorkspaceId workspace) {
		this.assigned.add(workspace);
		if (!this.recordedAsCreator.add(workspace)) {
			return completed();
		}
		Map<String, Long> changes = new TreeMap<>();
		changes.put(LimitHoldingKeys.units(workspace), Limit.SHARE_UNITS);
		changes.put(LimitHoldingKeys.created(workspace), 1L);
		return this.holdings.record(changes).thenAccept((isDurable) -> {
			// If the lease expires before the record is durable, this instance can't use
			// the share, and another instance creates it again.
			WorkspaceShare share = this.localShares.share(workspace);
			this.localShares.credit(share, Limit.SHARE_UNITS, share.limit().capacityMicro(Limit.SHARE_UNITS));
			// The delay keeps all tokens in one bucket for the first requests.
			this.timer.schedule(DISTRIBUTE_DELAY_MS, () -> distribute(this.localShares.share(workspace)));
		});
	}

	private void distribute(WorkspaceShare share) {
		List<InstanceId> otherHolders = new ArrayList<>();
		int burst = share.limit().burst();
		this.selector.holders(share.workspace(), burst).forEach((holder) -> otherHolders.add(holder.id()));
		otherHolders.remove(this.self);
		// Each part must be able to hold a whole token.
		int holderCount = Math.min(otherHolders.size() + 1, burst);
		if (holderCount < 2 || !this.localShares.isLeaseValid()) {
			return;
		}
		Bucket bucket = share.bucket();
		long units = bucket.units() / holderCount;
		long tokensMicro = Math.min(bucket.tokensMicro() / holderCount, share.limit().capacityMicro(units));
		for (InstanceId otherHolder : otherHolders.subList(0, holderCount - 1)) {
			this.transfers.startTransfer(share, otherHolder, units, tokensMicro);
		}
	}

	private Map<String, String> parseCreators(StoredObject object) {
		try {
			return this.mapper.readValue(object.value(), new TypeReference<TreeMap<String, String>>() {
			});
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(
					"failed to parse share/" + object.name() + ": expected a JSON object of creators by workspace", ex);
		}
	}

	private String formatCreators(Map<String, String> creators) {
		try {
			return this.mapper.writeValueAsString(creators);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to serialize the creators of a share object", ex);
		}
	}

	private static CompletableFuture<Void> completed() {
		return CompletableFuture.completedFuture(null);
	}

	private static String shard(WorkspaceId workspace) {
		return String.valueOf(Math.floorMod(HASH.hashChars(workspace.value()), SHARD_COUNT));
	}

	private static StoreFailure failureOf(Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof StoreException ex) ? ex.failure() : StoreFailure.OUTCOME_UNKNOWN;
	}

}
