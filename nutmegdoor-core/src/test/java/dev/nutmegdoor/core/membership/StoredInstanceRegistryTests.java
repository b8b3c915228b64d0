package dev.nutmegdoor.core.membership;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class StoredInstanceRegistryTests {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(5);

	private final ObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE)
		.clientOf(new FakeHost(this.timer, new InstanceId("i"), new AvailabilityZone("a"), 0));

	private final InstanceRegistry registry = new StoredInstanceRegistry(this.store, "k", EventLog.NONE);

	// Guards against messages that are not sent because connecting to the entry of
	// another
	// writer throws, and against a name lookup that blocks the control thread.
	@ParameterizedTest
	@ValueSource(strings = { "{}", "[]", "null", "7", "", "{", "{\"zone\":\"a\",\"host\":\"10.0.0.1\"}",
			"{\"zone\":\"a\",\"host\":\"10.0.0.1\",\"port\":70000}",
			"{\"zone\":\"a\",\"host\":\"10.0.0.1\",\"port\":0}",
			"{\"zone\":\"a\",\"host\":\"10.0.0.1\",\"port\":4294967376}",
			"{\"zone\":\"a\",\"host\":\"10.0.0.1\",\"port\":\"80\"}",
			"{\"zone\":\"a\",\"host\":\"host.example\",\"port\":80}", "{\"zone\":\"a\",\"host\":\"\",\"port\":80}",
			"{\"zone\":\"a b\",\"host\":\"10.0.0.1\",\"port\":80}", "{\"host\":\"10.0.0.1\",\"port\":80}" })
	void leavesOutEntriesThatDescribeNoInstance(String value) {
		DirectoryEntry entry = new DirectoryEntry(new InstanceId("i-1"), new AvailabilityZone("a"), "10.0.0.1", 80,
				false);
		this.registry.register(entry);
		this.store.create("k", "x", value);
		this.timer.advance(1_000);
		var entries = this.registry.list();
		this.timer.advance(1_000);
		assertThat(entries.join(), is(List.of(entry)));
	}

}
