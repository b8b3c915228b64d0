package dev.nutmegdoor.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/**
 * Tests placement in pools of which only a sample is considered for each call.
 */
class LargePoolTests {

	private static final int REPLICAS = 40;

	private static final AvailabilityZone ZONE = new AvailabilityZone("a");

	private static final UpstreamId HOLDER = new UpstreamId("r-7");

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final ReplicaIndex index = new ReplicaIndex(ZONE, 20, new PlacementCosts(3, 0.1, 0.01, 1e6, 1, 1, 12, 1, 2),
			this.timer, RandomSource.XO_SHI_RO_256_PP.create(5), EventLog.NONE);

	@BeforeEach
	void addReplicas() {
		Map<UpstreamId, Upstream> upstreams = new HashMap<>();
		for (int i = 0; i < REPLICAS; i++) {
			UpstreamId id = new UpstreamId("r-" + i);
			upstreams.put(id,
					new Upstream(id, UpstreamKind.MODEL_ENGINE, ZONE, "10.0.0.1", 1, List.of("m"), 8, false, false));
		}
		this.index.setUpstreams(upstreams);
	}

	private List<UpstreamId> candidates(List<PromptPart> prompt) {
		return this.index.collect("model:m", prompt, 10, 0, Set.of()).replicas().stream().map(ReplicaView::id).toList();
	}

	// Guards against a turn that reads the whole history again, because the engine that
	// holds it isn't in the sample: the last part of a turn is new and has no holder.
	@Test
	void considersHolderOfEarlierParts() {
		Reservation reservation = Objects.requireNonNull(this.index.reserve(HOLDER, 0));
		PromptPart shared = new PromptPart("shared", 2_000);
		PromptPart first = new PromptPart("turn-1", 500);
		this.index.recordAnswer(reservation, List.of(shared, first), 100, 100);
		for (int i = 0; i < 50; i++) {
			assertThat(candidates(List.of(shared, first, new PromptPart("turn-2", 500))), hasItem(HOLDER));
		}
	}

	// Guards against instances of a zone that each send the turns of a program elsewhere.
	@Test
	void considersReplicaThatAllInstancesOfTheZoneAssumeToHoldTheHistory() {
		List<PromptPart> prompt = List.of(new PromptPart("shared", 2_000), new PromptPart("other-turn", 500),
				new PromptPart("own-turn", 500));
		Set<UpstreamId> always = new HashSet<>(candidates(prompt));
		for (int i = 0; i < 50; i++) {
			always.retainAll(candidates(prompt));
		}
		assertThat(always.size(), is(1));
	}

}
