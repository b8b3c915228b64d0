package dev.nutmegdoor.core.watch;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.store.StoreEvent;

/**
 * Changes of one kind. They are complete between two revisions.
 *
 * @param kind kind of the objects
 * @param isHealthy whether the last calls of the sender to the store succeeded
 * @param baseRevision revision from which the sender remembers all changes; a subscriber
 * that is behind it can't be served
 * @param afterRevision revision after which the changes are complete
 * @param revision revision up to which they are complete
 * @param verifiedAgeMs time in milliseconds since the sender last knew that the store
 * held no later change than that of {@code revision}; {@code null} from an older version
 * @param changes changes, oldest first; none in a periodic message
 */
public record KindUpdate(String kind, boolean isHealthy, long baseRevision, long afterRevision, long revision,
		@Nullable Long verifiedAgeMs, List<WatchedChange> changes) {

	public KindUpdate(String kind, boolean isHealthy, long baseRevision, long afterRevision, long revision,
			@Nullable Long verifiedAgeMs, @Nullable List<WatchedChange> changes) {
		this.kind = kind;
		this.isHealthy = isHealthy;
		this.baseRevision = baseRevision;
		this.afterRevision = afterRevision;
		this.revision = revision;
		this.verifiedAgeMs = verifiedAgeMs;
		this.changes = (changes != null) ? List.copyOf(changes) : List.of();
	}

	List<StoreEvent> toEvents() {
		return this.changes.stream()
			.map((change) -> new StoreEvent(this.kind, change.name(), change.revision(), change.value()))
			.toList();
	}

}
