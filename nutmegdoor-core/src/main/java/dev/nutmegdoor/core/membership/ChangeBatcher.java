package dev.nutmegdoor.core.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Collects membership changes for a few milliseconds and sends them in one message. Of
 * several updates of an instance only the last one is sent.
 */
final class ChangeBatcher {

	private static final long DELAY_MS = 5;

	private final TimerService timer;

	private final Consumer<MembershipChange> sender;

	private final Map<InstanceId, MemberUpdate> pendingUpdates = new LinkedHashMap<>();

	ChangeBatcher(TimerService timer, Consumer<MembershipChange> sender) {
		this.timer = timer;
		this.sender = sender;
	}

	void add(MemberUpdate update) {
		if (this.pendingUpdates.isEmpty()) {
			this.timer.schedule(DELAY_MS, this::flush);
		}
		this.pendingUpdates.put(update.member().id(), update);
	}

	private void flush() {
		MembershipChange change = new MembershipChange(List.copyOf(this.pendingUpdates.values()));
		this.pendingUpdates.clear();
		this.sender.accept(change);
	}

}
