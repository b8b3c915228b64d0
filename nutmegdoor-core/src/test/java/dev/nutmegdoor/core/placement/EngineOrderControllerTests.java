package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.VirtualTimerService;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.TokenListener;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class EngineOrderControllerTests {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, RandomSource.XO_SHI_RO_256_PP.create(1),
			StoreFaults.NONE);

	private final List<Long> fencingNumbers = new ArrayList<>();

	private final RecordingEngineClient engines = new RecordingEngineClient();

	private CompletableFuture<Void> answer = CompletableFuture.completedFuture(null);

	private EngineOrderController controller(String instance, StepListener steps) {
		InstanceId id = new InstanceId(instance);
		FakeHost host = new FakeHost(this.timer, id, new AvailabilityZone("a"), 0);
		return new EngineOrderController(EngineOrderSettings.DEFAULT, this.store.clientOf(host), this.engines,
				this.timer, id, steps);
	}

	private static Upstream engine(boolean isFencingChecked) {
		return new Upstream(new UpstreamId("e-1"), UpstreamKind.MODEL_ENGINE, new AvailabilityZone("a"), "127.0.0.1",
				1_024, List.of("m"), 8, isFencingChecked, false);
	}

	// Leaves 15 s of the lease term of 60 s; an order may take 40 s.
	private StepListener pauseBeforeSending() {
		return (step) -> this.timer.advance(45_000);
	}

	@Nested
	class PauseBeforeSending {

		// Guards against an engine that does not check fencing tokens and executes a
		// delayed order of the previous lease holder.
		@Test
		void withholdsOrderWhenEngineIgnoresFencingNumbers() {
			controller("i-1", pauseBeforeSending()).load(engine(false), "n");
			EngineOrderControllerTests.this.timer.advance(60_000);
			assertThat(EngineOrderControllerTests.this.fencingNumbers, is(empty()));
		}

		// Guards against orders that are withheld although the engine itself would reject
		// them after the lease has passed to another instance.
		@Test
		void sendsOrderWhenEngineChecksFencingNumbers() {
			controller("i-1", pauseBeforeSending()).load(engine(true), "n");
			EngineOrderControllerTests.this.timer.advance(60_000);
			assertThat(EngineOrderControllerTests.this.fencingNumbers, hasSize(1));
		}

	}

	@Nested
	class TwoInstances {

		// Guards against two instances that send orders to the same engine concurrently.
		@Test
		void rejectsSecondInstanceWhileFirstHoldsLease() {
			EngineOrderControllerTests.this.answer = new CompletableFuture<>();
			controller("i-1", StepListener.NONE).load(engine(true), "n");
			EngineOrderControllerTests.this.timer.advance(1_000);
			CompletableFuture<Void> second = controller("i-2", StepListener.NONE).load(engine(true), "o");
			EngineOrderControllerTests.this.timer.advance(1_000);
			assertThat(second.isCompletedExceptionally(), is(true));
			assertThat(EngineOrderControllerTests.this.fencingNumbers, hasSize(1));
		}

		// Guards against a fencing token that does not increase with each lease holder,
		// so that an engine could not reject orders of the previous one.
		@Test
		void increasesFencingNumberWithEachLeaseHolder() {
			controller("i-1", StepListener.NONE).load(engine(true), "n");
			EngineOrderControllerTests.this.timer.advance(1_000);
			controller("i-2", StepListener.NONE).load(engine(true), "o");
			EngineOrderControllerTests.this.timer.advance(1_000);
			List<Long> numbers = EngineOrderControllerTests.this.fencingNumbers;
			assertThat(numbers, hasSize(2));
			assertThat(numbers.get(1), greaterThan(numbers.get(0)));
		}

	}

	@Nested
	class Planning {

		private final ModelDemand mostUtilised = new ModelDemand("n", 0.95, 2, 200_000);

		// Guards against replicas that oscillate between models.
		@Test
		void returnsNoOrderWhileNoModelHasSpareReplicas() {
			assertThat(decide(new ModelDemand("m", 0.6, 4, 200_000)), is(empty()));
		}

		// Guards against a model that becomes unavailable because its only replica is
		// reassigned.
		@Test
		void keepsLastReplicaOfModel() {
			assertThat(decide(new ModelDemand("m", 0, 1, 200_000)), is(empty()));
		}

		@Test
		void movesEngineToMostUtilisedModel() {
			assertThat(decide(new ModelDemand("m", 0.1, 4, 200_000)), contains("e-1"));
		}

		private List<String> decide(ModelDemand other) {
			EngineOrder order = EngineOrderPlanner.decide(new EngineOrderInput(List.of(this.mostUtilised, other),
					Map.of(new UpstreamId("e-1"), List.of("m")), 200_000, EngineOrderSettings.DEFAULT));
			return (order != null) ? List.of(order.upstream().value()) : List.of();
		}

	}

	private final class RecordingEngineClient implements EngineClient {

		@Override
		public CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request,
				TokenListener listener) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Void> cancel(Upstream upstream, String streamId) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Void> release(Upstream upstream, ProgramId program) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program) {
			return CompletableFuture.completedFuture(0);
		}

		@Override
		public CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs) {
			EngineOrderControllerTests.this.fencingNumbers.add(fencingNumber);
			return EngineOrderControllerTests.this.answer;
		}

	}

}
