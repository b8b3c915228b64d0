package dev.nutmegdoor.node.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerEntry;
import dev.nutmegdoor.core.ledger.LedgerLog;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.ledger.LedgerReplica;
import dev.nutmegdoor.core.ledger.LedgerSettings;
import dev.nutmegdoor.core.ledger.ReplicatedState;
import dev.nutmegdoor.core.membership.InstanceRegistry;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;
import dev.nutmegdoor.platform.RetirementTranslator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class RetirementListenerTests {

	private static final String ORDER = "{\"DurationS\":10}";

	private static final AvailabilityZone ZONE = new AvailabilityZone("a");

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(3);

	private final FakePeerNetwork network = new FakePeerNetwork(this.random, LinkSettings.RELIABLE);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);

	private final RetirementListener first = start("storage-1");

	private final RetirementListener second = start("storage-2");

	private RetirementListener start(String name) {
		FakeHost host = new FakeHost(this.timer, new InstanceId(name), ZONE, 0);
		ObjectStore client = this.store.clientOf(host);
		InstanceRegistry registry = new StoredInstanceRegistry(client, LedgerNode.REGISTRY_KIND, EventLog.NONE);
		LedgerReplica replica = new LedgerReplica(new LedgerMember(host.id(), ZONE, "10.0.0.1", 1),
				this.network.join(host), registry, new EmptyLog(), host, EventLog.NONE, LedgerSettings.DEFAULT,
				new LedgerMembers(), ReplicatedState.NONE);
		replica.start(List.of(), true);
		this.timer.advance(500);
		return new RetirementListener(host.id(), replica, registry, client, host, EventLog.NONE);
	}

	private void order(String name) {
		put(name, ORDER);
	}

	private void put(String name, String value) {
		this.store.clientOf(new FakeHost(this.timer, new InstanceId("operator"), ZONE, 0))
			.create(RetirementTranslator.KIND, name, value);
		this.timer.advance(100);
		List<StoredObject> objects = List.of(new StoredObject(RetirementTranslator.KIND, name, 1, value));
		this.first.listed(objects);
		this.second.listed(objects);
	}

	private @Nullable String status(String name) {
		return this.store.peekStatus(RetirementTranslator.KIND, name);
	}

	// Guards against a machine whose removal waits forever, because it runs no replica
	// that could report that it is empty.
	@Test
	void completesForMachineWithoutReplica() {
		order("storage-9");
		this.timer.advance(1_000);
		assertThat(status("storage-9"), is(nullValue()));
		this.timer.advance(2_000);
		assertThat(status("storage-9"), is(RetirementTranslator.completed()));
	}

	// Guards against a machine that is removed with its disk before its replica has
	// handed over its entries.
	@Test
	void leavesMachineWithReplicaToThatReplica() {
		RetirementListener third = start("storage-3");
		order("storage-3");
		this.timer.advance(10_000);
		assertThat(status("storage-3"), is(nullValue()));
		third.listed(List.of(new StoredObject(RetirementTranslator.KIND, "storage-3", 1, ORDER)));
		this.timer.advance(10_000);
		assertThat(status("storage-3"), is(RetirementTranslator.completed()));
	}

	// Guards against a machine that is emptied and removed because of an entry of another
	// writer.
	@ParameterizedTest
	@ValueSource(strings = { "{}", "[]", "null", "", "{", "{\"DurationS\":\"10\"}", "{\"DurationS\":[[10]]}" })
	void ignoresEntryWithoutDuration(String value) {
		put("storage-1", value);
		put("storage-9", value);
		this.timer.advance(10_000);
		assertThat(status("storage-1"), is(nullValue()));
		assertThat(status("storage-9"), is(nullValue()));
	}

	private static final class EmptyLog implements LedgerLog {

		@Override
		public CompletableFuture<Void> append(List<LedgerEntry> entries) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Void> compact(List<LedgerEntry> entries) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public long sizeBytes() {
			return 0;
		}

	}

}
