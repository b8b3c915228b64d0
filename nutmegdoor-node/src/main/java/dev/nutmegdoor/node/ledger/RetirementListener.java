package dev.nutmegdoor.node.ledger;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerReplica;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.membership.InstanceRegistry;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.store.UnreadableEntries;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.platform.RetirementTranslator;

/**
 * Empties this machine when the operators order it. A machine without a replica of the
 * ledger has nothing to empty; the replicas report that for it.
 */
final class RetirementListener implements KindListener {

	private static final long RETRY_MS = 300;

	/**
	 * Time in milliseconds after which a machine that is still not in the list of
	 * replicas is taken to have none. A starting replica registers in less time.
	 */
	private static final long REGISTRATION_WAIT_MS = 2_000;

	private final InstanceId self;

	private final LedgerReplica replica;

	private final InstanceRegistry registry;

	private final ObjectStore store;

	private final TimerService timer;

	private final EventLog events;

	private final UnreadableEntries unreadableEntries;

	private final Set<String> orderedNames = new HashSet<>();

	RetirementListener(InstanceId self, LedgerReplica replica, InstanceRegistry registry, ObjectStore store,
			TimerService timer, EventLog events) {
		this.self = self;
		this.replica = replica;
		this.registry = registry;
		this.store = store;
		this.timer = timer;
		this.events = events;
		this.unreadableEntries = new UnreadableEntries(events);
	}

	@Override
	public void listed(List<StoredObject> objects) {
		objects.forEach((object) -> entryFound(object.name(), object.value()));
	}

	@Override
	public void changed(List<StoreEvent> changes) {
		for (StoreEvent change : changes) {
			String value = change.value();
			if (value != null) {
				entryFound(change.name(), value);
			}
		}
	}

	private void entryFound(String name, String value) {
		if (RetirementTranslator.isOrder(value)) {
			ordered(name);
		}
		else {
			this.unreadableEntries.report(RetirementTranslator.KIND, name, "it orders no retirement");
		}
	}

	private void ordered(String name) {
		if (!this.orderedNames.add(name)) {
			return;
		}
		if (!name.equals(this.self.value())) {
			this.timer.schedule(REGISTRATION_WAIT_MS, () -> completeIfWithoutReplica(name));
			return;
		}
		this.events.record("retirement.ordered", "instance", this.self);
		report(name, RetirementTranslator.running());
		empty();
	}

	private void completeIfWithoutReplica(String name) {
		this.registry.list().whenComplete((entries, error) -> {
			if (error != null) {
				this.timer.schedule(REGISTRATION_WAIT_MS, () -> completeIfWithoutReplica(name));
				return;
			}
			if (entries.stream().anyMatch((entry) -> entry.id().value().equals(name))) {
				return;
			}
			// The first of the list reports, and the second one in case the first is
			// down.
			int rank = entries.stream().map(DirectoryEntry::id).sorted().toList().indexOf(this.self);
			if (rank == 0 || rank == 1) {
				this.timer.schedule(rank * REGISTRATION_WAIT_MS, () -> {
					this.events.record("retirement.completed", "instance", name, "reason", "it has no replica");
					report(name, RetirementTranslator.completed());
				});
			}
		});
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
			report(this.self.value(), RetirementTranslator.completed());
		});
	}

	private void report(String name, String status) {
		this.store.reportStatus(RetirementTranslator.KIND, name, status).whenComplete((done, error) -> {
			if (error != null) {
				this.events.record("retirement.report-failed", "instance", name, "error",
						String.valueOf(error.getMessage()));
				this.timer.schedule(RETRY_MS, () -> report(name, status));
			}
		});
	}

}
