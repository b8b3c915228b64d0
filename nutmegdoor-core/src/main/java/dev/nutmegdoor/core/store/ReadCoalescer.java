package dev.nutmegdoor.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Lets equal reads share calls. A read that arrives while an equal one is under way does
 * not join it, since that one may have been answered before a change that the new caller
 * already knows of; all such reads share one call that starts afterwards.
 */
final class ReadCoalescer {

	private final Map<String, Slot<?>> slots = new HashMap<>();

	private long joinedReads;

	long joinedReads() {
		return this.joinedReads;
	}

	@SuppressWarnings("unchecked")
	<T> CompletableFuture<T> read(String key, Supplier<CompletableFuture<T>> call) {
		Slot<T> slot = (Slot<T>) this.slots.get(key);
		if (slot == null) {
			slot = new Slot<>();
			this.slots.put(key, slot);
			return start(key, slot, call, new CompletableFuture<>());
		}
		if (slot.next != null) {
			this.joinedReads++;
			return slot.next;
		}
		CompletableFuture<T> next = new CompletableFuture<>();
		slot.next = next;
		slot.nextCall = call;
		return next;
	}

	private <T> CompletableFuture<T> start(String key, Slot<T> slot, Supplier<CompletableFuture<T>> call,
			CompletableFuture<T> result) {
		call.get().whenComplete((value, error) -> {
			finish(key, slot);
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(value);
			}
		});
		return result;
	}

	private <T> void finish(String key, Slot<T> slot) {
		CompletableFuture<T> next = slot.next;
		Supplier<CompletableFuture<T>> call = slot.nextCall;
		if (next == null || call == null) {
			this.slots.remove(key);
			return;
		}
		slot.next = null;
		slot.nextCall = null;
		start(key, slot, call, next);
	}

	private static final class Slot<T> {

		private @Nullable CompletableFuture<T> next;

		private @Nullable Supplier<CompletableFuture<T>> nextCall;

	}

}
