package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.function.BiConsumer;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Reads the platform's instance list periodically, at jittered intervals.
 */
final class DirectoryReader {

	private final InstanceDirectory directory;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final EventLog eventLog;

	private final MembershipSettings settings;

	private boolean listRead;

	DirectoryReader(InstanceDirectory directory, TimerService timer, UniformRandomProvider random, EventLog eventLog,
			MembershipSettings settings) {
		this.directory = directory;
		this.timer = timer;
		this.random = random;
		this.eventLog = eventLog;
		this.settings = settings;
	}

	/**
	 * Reads the list immediately and then periodically. Until the first success, the
	 * period is that of the heartbeats.
	 * @param listener receives the list, and {@code true} if it is the first one
	 */
	void start(BiConsumer<List<DirectoryEntry>, Boolean> listener) {
		this.directory.list().whenComplete((entries, error) -> {
			if (error != null) {
				this.eventLog.record("membership.directory_failed", "reason", error.toString());
			}
			else {
				boolean isFirst = !this.listRead;
				this.listRead = true;
				listener.accept(entries, isFirst);
			}
			long periodMs = this.listRead ? this.settings.directoryMs() : this.settings.heartbeatMs();
			this.timer.schedule(periodMs / 2 + this.random.nextLong(periodMs), () -> start(listener));
		});
	}

}
