package dev.nutmegdoor.core.fake;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.membership.InstanceDirectory;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Instance directory on virtual time in which started and stopped instances appear and
 * disappear after a delay.
 */
public final class FakeDirectory {

	private final VirtualTimerService timer;

	private final long propagationDelayMs;

	private final Map<InstanceId, Listing> entries = new LinkedHashMap<>();

	private boolean available = true;

	public FakeDirectory(VirtualTimerService timer, long propagationDelayMs) {
		this.timer = timer;
		this.propagationDelayMs = propagationDelayMs;
	}

	public void setAvailable(boolean isAvailable) {
		this.available = isAvailable;
	}

	/**
	 * Adds an instance, which becomes visible after the propagation delay.
	 * @param entry entry of the instance
	 * @param isListed whether the instance is visible immediately
	 */
	public void add(DirectoryEntry entry, boolean isListed) {
		long fromMs = isListed ? Long.MIN_VALUE : (this.timer.nowMs() + this.propagationDelayMs);
		this.entries.put(entry.id(), new Listing(entry, fromMs, Long.MAX_VALUE));
	}

	/**
	 * Removes an instance, which remains visible during the propagation delay.
	 * @param id identifier of the instance; ignored if it was never added
	 */
	public void remove(InstanceId id) {
		Listing listing = this.entries.get(id);
		if (listing != null) {
			this.entries.put(id,
					new Listing(listing.entry, listing.fromMs, this.timer.nowMs() + this.propagationDelayMs));
		}
	}

	/**
	 * Returns a client of the directory for one host.
	 * @param host host on which the callbacks run
	 * @return a client that fails while the directory is unavailable
	 */
	public InstanceDirectory clientOf(FakeHost host) {
		return () -> {
			CompletableFuture<List<DirectoryEntry>> result = new CompletableFuture<>();
			host.schedule(2, () -> {
				if (this.available) {
					result.complete(list());
				}
				else {
					result.completeExceptionally(
							new StoreException(StoreFailure.UNAVAILABLE, "the list of instances is unavailable"));
				}
			});
			return result;
		};
	}

	private List<DirectoryEntry> list() {
		List<DirectoryEntry> visibleEntries = new ArrayList<>();
		for (Listing listing : this.entries.values()) {
			if (listing.fromMs <= this.timer.nowMs() && this.timer.nowMs() < listing.untilMs) {
				visibleEntries.add(listing.entry);
			}
		}
		return visibleEntries;
	}

	private record Listing(DirectoryEntry entry, long fromMs, long untilMs) {

	}

}
