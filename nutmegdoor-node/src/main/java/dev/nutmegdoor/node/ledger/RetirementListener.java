package dev.nutmegdoor.node.ledger;

import java.util.List;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerReplica;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.platform.RetirementTranslator;

/**
 * Empties this machine when the operators order it.
 */
final class RetirementListener implements KindListener {

	private static final long RETRY_MS = 300;

	private final InstanceId self;

	private final LedgerReplica replica;

	private final ObjectStore store;

	private final TimerService timer;

	private final EventLog events;

	private boolean isOrdered;

	RetirementListener(InstanceId self, LedgerReplica replica, ObjectStore store, TimerService timer, EventLog events) {
		this.self = self;
		this.replica = replica;
		this.store = store;
		this.timer = timer;
		this.events = events;
	}

	@Override
	public void listed(List<StoredObject> objects) {
		objects.forEach((object) -> ordered(object.name()));
	}

	@Override
	public void changed(List<StoreEvent> changes) {
		changes.stream().filter((change) -> change.value() != null).forEach((change) -> ordered(change.name()));
	}

	private void ordered(String name) {
		if (!name.equals(this.self.value()) || this.isOrdered) {
			return;
		}
		this.isOrdered = true;
		this.events.record("retirement.ordered", "instance", this.self);
		report(RetirementTranslator.running());
		empty();
	}

	private void empty() {
		this.replica.leave().whenComplete((done, error) -> {
			if (error != null) {
				this.events.record("retirement.delayed", "instance", this.self, "error",
						String.valueOf(error.getMessage()));
				this.timer.schedule(RETRY_MS, this::empty);
				return;
			}
			this.events.record("retirement.completed", "instance", this.self);
			report(RetirementTranslator.completed());
		});
	}

	private void report(String status) {
		this.store.reportStatus(RetirementTranslator.KIND, this.self.value(), status).whenComplete((done, error) -> {
			if (error != null) {
				this.events.record("retirement.report-failed", "instance", this.self, "error",
						String.valueOf(error.getMessage()));
				this.timer.schedule(RETRY_MS, () -> report(status));
			}
		});
	}

}
