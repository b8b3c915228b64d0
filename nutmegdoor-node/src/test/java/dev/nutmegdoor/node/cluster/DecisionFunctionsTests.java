package dev.nutmegdoor.node.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.explain.DecisionLog;
import dev.nutmegdoor.core.explain.DecisionRecord;
import dev.nutmegdoor.core.explain.DecisionVerifier;
import dev.nutmegdoor.core.explain.VerificationStatus;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.limit.AdmissionInputs;
import dev.nutmegdoor.core.limit.AdmissionPeer;
import dev.nutmegdoor.core.limit.AdmissionRule;
import dev.nutmegdoor.core.limit.Bucket;
import dev.nutmegdoor.core.limit.Limit;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.placement.Placement;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PlacementInput;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.program.AtMostOnceInputs;
import dev.nutmegdoor.core.program.AtMostOnceRule;
import dev.nutmegdoor.core.program.BudgetInputs;
import dev.nutmegdoor.core.program.BudgetRule;
import dev.nutmegdoor.core.program.OrderInputs;
import dev.nutmegdoor.core.program.OrderRule;
import dev.nutmegdoor.core.schedule.QueueInput;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class DecisionFunctionsTests {

	private static final int DECISION_COUNT = 1_000;

	private static final long SEED = 7;

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final ReplicaIndex index = new ReplicaIndex(new AvailabilityZone("a"), 5, PlacementCosts.DEFAULT,
			this.timer, this.random, EventLog.NONE);

	private final DecisionIds ids = new DecisionIds(new InstanceId("i-1"));

	private final DecisionLog log = new DecisionLog(this.ids, 64 << 20);

	private final DecisionVerifier verifier = DecisionFunctions.verifier();

	private DecisionId record(DecisionKind kind, Object inputs, Object outcome) {
		DecisionId id = this.ids.next();
		this.log.record(new DecisionRecord(id, kind, 0, null, false, "", inputs, outcome, List.of(), ""));
		return id;
	}

	private DecisionId decide(int number) {
		return switch (number % 6) {
			case 0 -> admission();
			case 1 -> order();
			case 2 -> budget();
			case 3 -> atMostOnce();
			case 4 -> queue();
			default -> placement(number);
		};
	}

	private DecisionId admission() {
		List<AdmissionPeer> peers = new ArrayList<>();
		for (int i = 0; i < this.random.nextInt(6); i++) {
			peers.add(new AdmissionPeer(new InstanceId("i-" + i), this.random.nextBoolean(), this.random.nextBoolean(),
					this.random.nextLong(200_000), this.random.nextLong(2 * Limit.MICRO_PER_TOKEN),
					this.random.nextBoolean(), this.random.nextBoolean()));
		}
		AdmissionInputs inputs = new AdmissionInputs(new Limit(this.random.nextLong(50_000), this.random.nextInt(20)),
				this.random.nextBoolean(),
				new Bucket(this.random.nextLong(Limit.SHARE_UNITS), this.random.nextLong(2 * Limit.MICRO_PER_TOKEN), 0,
						0),
				peers, this.random.nextBoolean(), this.random.nextBoolean(), this.random.nextBoolean(),
				this.random.nextLong(300));
		return record(DecisionKind.ADMISSION, inputs, AdmissionRule.decide(inputs));
	}

	private DecisionId order() {
		OrderInputs inputs = new OrderInputs(this.random.nextInt(6), this.random.nextInt(6), this.random.nextInt(6),
				this.random.nextBoolean(), this.random.nextBoolean(), this.random.nextLong(3_000), 2_000,
				this.random.nextInt(10) == 0);
		return record(DecisionKind.ORDER, inputs, OrderRule.decide(inputs));
	}

	private DecisionId budget() {
		BudgetInputs inputs = new BudgetInputs(new ProgramBudget(1_000, 10, 10_000, 2), this.random.nextLong(1_500),
				this.random.nextInt(12), this.random.nextLong(12_000), this.random.nextLong(300), 1,
				this.random.nextInt(4));
		return record(DecisionKind.BUDGET, inputs, BudgetRule.decide(inputs));
	}

	private DecisionId atMostOnce() {
		AtMostOnceState[] states = AtMostOnceState.values();
		int pick = this.random.nextInt(states.length + 1);
		AtMostOnceInputs inputs = new AtMostOnceInputs((pick < states.length) ? states[pick] : null,
				this.random.nextBoolean(), this.random.nextBoolean(), this.random.nextLong(3_000) - 1_000, 1_500, 500);
		return record(DecisionKind.AT_MOST_ONCE, inputs, AtMostOnceRule.decide(inputs));
	}

	private DecisionId queue() {
		QueueInput inputs = new QueueInput(this.random.nextInt(10) > 0, this.random.nextInt(10) == 0,
				this.random.nextInt(500), 400, this.random.nextDouble() * 5_000, this.random.nextDouble() * 500,
				this.random.nextLong(6_000), this.random.nextDouble() * 2, 1 + this.random.nextDouble());
		return record(DecisionKind.QUEUE, inputs, inputs.decide());
	}

	private DecisionId placement(int number) {
		UpstreamId reported = new UpstreamId("engine-" + this.random.nextInt(20));
		this.index.reportReceived(reported, new LoadReport(number, this.random.nextLong(500), this.random.nextInt(32),
				this.random.nextInt(8), this.random.nextLong(50_000), 10_000, 500_000, List.of("m")));
		PlacementInput inputs = this.index.collect("model:m",
				List.of(new PromptPart("program-" + number, this.random.nextInt(100_000))), 400,
				this.random.nextLong(1_000), Set.of());
		return record(DecisionKind.PLACEMENT, inputs, Placement.decide(inputs));
	}

	private JsonNode recordOf(DecisionId id) {
		return this.log.explain(id).records().get(0);
	}

	private void addReplicas() {
		Map<UpstreamId, Upstream> upstreams = new HashMap<>();
		for (int i = 0; i < 20; i++) {
			UpstreamId id = new UpstreamId("engine-" + i);
			upstreams.put(id,
					new Upstream(id, UpstreamKind.MODEL_ENGINE, new AvailabilityZone("abc".substring(i % 3, i % 3 + 1)),
							"127.0.0.1", 9_000, List.of("m"), 32, true, false));
		}
		this.index.setUpstreams(upstreams);
	}

	// Guards against a decision that an operator cannot verify, because its recorded
	// inputs have lost a value during serialization.
	@Test
	void reproducesOutcomesOfMixedDecisionsFromTheirRecords() {
		addReplicas();
		for (int i = 0; i < DECISION_COUNT; i++) {
			JsonNode record = recordOf(decide(i));
			assertThat("seed " + SEED + " decision " + i + ": " + record + " " + this.verifier.verify(record),
					this.verifier.verify(record).status(), is(VerificationStatus.AGREES));
		}
	}

	// Guards against a verification that confirms every record, so that an operator would
	// not detect an altered outcome.
	@Test
	void reportsDifferenceForAlteredOutcome() {
		addReplicas();
		int differing = 0;
		for (int i = 0; i < 60; i++) {
			ObjectNode record = (ObjectNode) recordOf(decide(i));
			record.set("outcome", new TextNode("altered"));
			if (this.verifier.verify(record).status() == VerificationStatus.DIFFERS) {
				differing++;
			}
		}
		assertThat(differing, is(60));
		assertThat(this.log.dump().recorded(), is(greaterThan(0L)));
	}

}
