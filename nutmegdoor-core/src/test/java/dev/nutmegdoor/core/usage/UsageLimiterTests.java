package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeConfigurationView;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class UsageLimiterTests {

	private static final WorkspaceId WORKSPACE = new WorkspaceId("w");

	private static final int RATE = 100;

	/**
	 * Admitted requests that the deployments tolerate in a window of 5 s: 10% and 20
	 * requests above rate and burst.
	 */
	private static final double MAX_TOLERATED_REQUESTS = (RATE * 5 + RATE) * 1.1 + 20;

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7);

	private final FakePeerNetwork network = new FakePeerNetwork(this.random, LinkSettings.RELIABLE);

	private final FakeConfigurationView configuration = new FakeConfigurationView(withRate(RATE));

	private final List<UsageLimiter> limiters = new ArrayList<>();

	private final List<FakeHost> hosts = new ArrayList<>();

	private final List<DirectoryEntry> entries = new ArrayList<>();

	private final Map<Integer, List<ObservedLoad>> loadsToShare = new HashMap<>();

	private final Map<Integer, ObservedLoad> receivedLoads = new HashMap<>();

	private static Configuration withRate(int rate) {
		return new Configuration(1,
				Map.of(WORKSPACE, new Workspace(WORKSPACE, rate, rate, 1, Map.of(), ProgramBudget.DEFAULT)), Map.of(),
				Map.of(), Map.of(), Map.of());
	}

	private void start(int instanceCount, boolean isFirstStart) {
		for (int i = 0; i < instanceCount; i++) {
			AvailabilityZone zone = new AvailabilityZone("z" + i % ((instanceCount > 16) ? 5 : 3));
			this.entries.add(new DirectoryEntry(new InstanceId("i-" + i), zone, "10.0.0." + i, 1, false));
		}
		for (int i = 0; i < instanceCount; i++) {
			startInstance(i, isFirstStart);
		}
		this.timer.advance(1_000);
	}

	private UsageLimiter startInstance(int index, boolean isFirstStart) {
		FakeHost host = new FakeHost(this.timer, new InstanceId("i-" + index), zone(index), 0);
		this.hosts.add(host);
		UsagePeers peers = new UsagePeers(host.id());
		peers.addListed(this.entries);
		UsageLimiter limiter = new UsageLimiter(this.network.join(host), peers, this.configuration, host, this.random,
				EventLog.NONE, UsageSettings.DEFAULT,
				new LocalUsageEndpoint("run-" + this.hosts.size(), zone(index), "10.0.0." + index, 1), isFirstStart,
				new RecordingLoadSharing(index), new RequestQuarantine(host, EventLog.NONE));
		this.limiters.add(limiter);
		return limiter;
	}

	private AvailabilityZone zone(int index) {
		return new AvailabilityZone("z" + index % ((this.entries.size() > 16) ? 5 : 3));
	}

	private boolean admit(UsageLimiter limiter, RequestStage stage) {
		return limiter.admit(WORKSPACE, stage).getNow(new Admission(false, 0, 0, "waits")).isAdmitted();
	}

	/**
	 * Sends requests at a constant rate to random instances and returns how many were
	 * admitted.
	 */
	private int send(int perSecond, long durationMs) {
		List<CompletableFuture<Admission>> results = new ArrayList<>();
		int total = (int) (perSecond * durationMs / 1_000);
		for (int i = 0; i < total; i++) {
			this.timer.advance(durationMs * (i + 1) / total - durationMs * i / total);
			results.add(this.limiters.get(this.random.nextInt(this.limiters.size()))
				.admit(WORKSPACE, RequestStage.CONTINUING));
		}
		return (int) results.stream()
			.filter((result) -> result.getNow(new Admission(false, 0, 0, "waits")).isAdmitted())
			.count();
	}

	/**
	 * Shares the loads that a test gives to an instance, and records those that it
	 * receives.
	 */
	private final class RecordingLoadSharing implements LoadSharing {

		private final int index;

		private RecordingLoadSharing(int index) {
			this.index = index;
		}

		@Override
		public List<ObservedLoad> takeObservedLoads() {
			List<ObservedLoad> loads = UsageLimiterTests.this.loadsToShare.remove(this.index);
			return (loads != null) ? loads : List.of();
		}

		@Override
		public void loadsObservedElsewhere(List<ObservedLoad> loads) {
			loads.forEach((load) -> UsageLimiterTests.this.receivedLoads.put(this.index, load));
		}

	}

	@Nested
	class AllInstancesReachable {

		// Guards against a workspace that gets its rate on each instance instead of once.
		@Test
		void enforcesRateAcrossInstances() {
			start(9, true);
			assertThat((double) send(7 * RATE, 5_000), lessThanOrEqualTo(MAX_TOLERATED_REQUESTS));
		}

		// Guards against rejections within the rate because the instances receive uneven
		// load.
		@Test
		void admitsAllRequestsWithinRate() {
			start(9, true);
			assertThat(send(RATE * 6 / 10, 5_000), is(RATE * 6 / 10 * 5));
		}

		// Guards against programs in progress that are rejected because new programs have
		// used all tokens.
		@Test
		void reservesTokensForProgramsInProgress() {
			start(1, true);
			UsageLimiter limiter = UsageLimiterTests.this.limiters.get(0);
			int openedCount = 0;
			while (openedCount < RATE && admit(limiter, RequestStage.OPENING)) {
				openedCount++;
			}
			assertThat((double) openedCount, closeTo(RATE * 0.6, 1));
			assertThat(admit(limiter, RequestStage.CONTINUING), is(true));
		}

	}

	@Nested
	class RequestQueueing {

		// Guards against rejections of a short excess for which tokens are refilled
		// within the maximum wait.
		@Test
		void admitsShortExcessAfterWaiting() {
			start(3, true);
			List<CompletableFuture<Admission>> results = new ArrayList<>();
			for (int i = 0; i < RATE + RATE / 5; i++) {
				results.add(UsageLimiterTests.this.limiters.get(i % 3).admit(WORKSPACE, RequestStage.CONTINUING));
				UsageLimiterTests.this.timer.advance((i % 10 == 0) ? 10 : 0);
			}
			UsageLimiterTests.this.timer.advance(2_000);
			assertThat(results.stream().filter((result) -> !result.join().isAdmitted()).count(), is(0L));
		}

		// Guards against requests that wait although they can't be admitted in time, and
		// against rejected clients that all retry at the same moment.
		@Test
		void rejectsImmediatelyWhenWaitExceedsMaximum() {
			start(1, true);
			List<Long> retryDelaysMs = new ArrayList<>();
			for (int i = 0; i < RATE * 3; i++) {
				CompletableFuture<Admission> result = UsageLimiterTests.this.limiters.get(0)
					.admit(WORKSPACE, RequestStage.CONTINUING);
				if (result.isDone() && !result.join().isAdmitted()) {
					retryDelaysMs.add(result.join().retryAfterMs());
				}
			}
			assertThat(retryDelaysMs.size(), greaterThan(RATE));
			assertThat((int) retryDelaysMs.stream().distinct().count(), greaterThan(RATE / 2));
		}

	}

	@Nested
	class PartitionedZone {

		// Guards against a workspace that gets its rate and burst on each side of a
		// network partition.
		@Test
		void enforcesRateAcrossBothSides() {
			start(9, true);
			AvailabilityZone partitionedZone = zone(0);
			for (int otherZone = 1; otherZone < 3; otherZone++) {
				UsageLimiterTests.this.network.setCut(partitionedZone, zone(otherZone), true);
			}
			UsageLimiterTests.this.timer.advance(UsageSettings.DEFAULT.freshMs() + 200);
			assertThat((double) send(7 * RATE, 5_000), lessThanOrEqualTo(MAX_TOLERATED_REQUESTS));
		}

		// Guards against a side of a network partition that stops admitting requests.
		@Test
		void leavesEachSideItsShare() {
			start(9, true);
			for (int otherZone = 1; otherZone < 3; otherZone++) {
				UsageLimiterTests.this.network.setCut(zone(0), zone(otherZone), true);
			}
			UsageLimiterTests.this.timer.advance(UsageSettings.DEFAULT.freshMs() + 200);
			assertThat(send(7 * RATE, 5_000), greaterThan(RATE * 4));
		}

	}

	@Nested
	class PartitionHealing {

		// Guards against rejections after a network partition has healed, because the
		// delayed reports deduct all requests admitted on the other side.
		@Test
		void ignoresReportsDelayedByPartition() {
			start(1, true);
			PeerTransport peer = UsageLimiterTests.this.network
				.join(new FakeHost(UsageLimiterTests.this.timer, new InstanceId("p"), zone(1), 0));
			report(peer, 0);
			UsageLimiterTests.this.timer.advance(5_000);
			// TCP delivers the delayed reports over several round trips after the
			// partition has healed.
			for (int i = 1; i <= 50; i++) {
				report(peer, 4L * i);
				UsageLimiterTests.this.timer.advance(10);
			}
			assertThat(admit(UsageLimiterTests.this.limiters.get(0), RequestStage.CONTINUING), is(true));
		}

		private void report(PeerTransport peer, long requests) {
			peer.send(new InstanceId("i-0"), new UsageReport("run-p", zone(1), "10.0.0.9", 1, false,
					Map.of(WORKSPACE.value(), requests), Map.of(), 10_000, List.of(), List.of(), null));
		}

	}

	@Nested
	class ProgramOverload {

		private static final int REQUESTS_PER_PROGRAM = 12;

		private static final long REQUEST_INTERVAL_MS = 300;

		private static final int PROGRAM_COUNT = 600;

		private static final int DEMAND_FACTOR = 4;

		private int finishedCount;

		// A workspace begins four times as many programs as its rate allows. Guards
		// against a rate that is wasted on programs which are rejected midway: at least
		// 80% of the programs that the rate allows must finish.
		@ParameterizedTest
		@ValueSource(ints = { 10, 30, 100 })
		void finishesMostProgramsThatRateAllows(int rate) {
			UsageLimiterTests.this.configuration.set(withRate(rate));
			start(3, true);
			long intervalMs = 1_000L * REQUESTS_PER_PROGRAM / rate / DEMAND_FACTOR;
			for (int i = 0; i < PROGRAM_COUNT; i++) {
				UsageLimiterTests.this.timer.schedule(i * intervalMs, () -> sendNext(0, 0));
			}
			UsageLimiterTests.this.timer.advance(PROGRAM_COUNT * intervalMs + 20_000);
			double programsWithinRate = (double) PROGRAM_COUNT / DEMAND_FACTOR;
			assertThat((double) this.finishedCount, greaterThan(programsWithinRate * 0.8));
		}

		// A rejected request is retried at most twice, after the time in the rejection.
		private void sendNext(int completedCount, int rejectionCount) {
			if (completedCount == REQUESTS_PER_PROGRAM) {
				this.finishedCount++;
				return;
			}
			RequestStage stage = (completedCount == 0) ? RequestStage.OPENING : RequestStage.CONTINUING;
			UsageLimiterTests.this.limiters.get(UsageLimiterTests.this.random.nextInt(3))
				.admit(WORKSPACE, stage)
				.thenAccept((admission) -> {
					if (admission.isAdmitted()) {
						UsageLimiterTests.this.timer.schedule(REQUEST_INTERVAL_MS,
								() -> sendNext(completedCount + 1, 0));
					}
					else if (rejectionCount < 2) {
						UsageLimiterTests.this.timer.schedule(admission.retryAfterMs(),
								() -> sendNext(completedCount, rejectionCount + 1));
					}
				});
		}

	}

	@Nested
	class LargeDeployment {

		private static final int INSTANCES = 60;

		// A tenant sends seven times its rate. Guards against counts that are lost or
		// counted twice on their way over the relays.
		@Test
		void enforcesRateAcrossInstances() {
			start(INSTANCES, true);
			assertThat((double) send(7 * RATE, 5_000), lessThanOrEqualTo(MAX_TOLERATED_REQUESTS));
			assertThat((double) send(7 * RATE, 5_000), lessThanOrEqualTo(MAX_TOLERATED_REQUESTS));
		}

		// Guards against rejections within the rate because counts arrive twice.
		@Test
		void admitsAllRequestsWithinRate() {
			start(INSTANCES, true);
			assertThat(send(RATE * 6 / 10, 20_000), is(RATE * 6 / 10 * 20));
		}

		// Guards against messages of each instance that grow with the deployment. Five
		// zones of twelve instances have ten relays; each reports to two of them at most
		// ten times a second, and a relay sends to eleven instances and eight relays.
		@Test
		void boundsMessagesOfEachInstance() {
			start(INSTANCES, true);
			UsageLimiterTests.this.timer.advance(2_000);
			long before = UsageLimiterTests.this.network.sentMessages();
			send(RATE, 10_000);
			long perSecond = (UsageLimiterTests.this.network.sentMessages() - before) / 10;
			assertThat(perSecond, lessThanOrEqualTo(INSTANCES * 2 * 10 + 10 * 10 * (11 + 8L)));
		}

		// Guards against instances that nobody reports to after their relays have died.
		@Test
		void enforcesRateAfterLossOfRelays() {
			start(INSTANCES, true);
			send(RATE, 2_000);
			for (int lost : new int[] { 0, 10, 1, 11 }) {
				UsageLimiterTests.this.hosts.get(lost).crash();
			}
			send(RATE, 3_000);
			UsageLimiterTests.this.limiters
				.removeAll(List.of(UsageLimiterTests.this.limiters.get(0), UsageLimiterTests.this.limiters.get(1),
						UsageLimiterTests.this.limiters.get(10), UsageLimiterTests.this.limiters.get(11)));
			assertThat((double) send(7 * RATE, 5_000), lessThanOrEqualTo(MAX_TOLERATED_REQUESTS));
			int admitted = send(RATE * 6 / 10, 20_000);
			assertThat(admitted, greaterThan(RATE * 6 / 10 * 20 * 9 / 10));
		}

		// Guards against a workspace that gets its rate on each side of a network
		// partition, and against rejections after it has healed.
		@Test
		void enforcesRateDuringAndAfterPartition() {
			start(INSTANCES, true);
			send(RATE, 2_000);
			setZoneCut(true);
			UsageLimiterTests.this.timer.advance(UsageSettings.DEFAULT.freshMs() + 500);
			assertThat((double) send(7 * RATE, 5_000), lessThanOrEqualTo(MAX_TOLERATED_REQUESTS));
			setZoneCut(false);
			send(RATE / 10, 3_000);
			assertThat(send(RATE * 6 / 10, 10_000), greaterThan(RATE * 6 / 10 * 10 * 95 / 100));
		}

		private void setZoneCut(boolean isCut) {
			for (int otherZone = 1; otherZone < 5; otherZone++) {
				UsageLimiterTests.this.network.setCut(zone(0), zone(otherZone), isCut);
			}
		}

		// Guards against loads of replicas that some instances don't learn of, or learn
		// of
		// so late that they are useless.
		@Test
		void sharesLoadsWithAllInstances() {
			start(INSTANCES, true);
			ObservedLoad load = new ObservedLoad(new UpstreamId("replica"), 7, 0, 4.5);
			UsageLimiterTests.this.loadsToShare.put(17, List.of(load));
			UsageLimiterTests.this.timer.advance(1_000);
			Set<Integer> informed = UsageLimiterTests.this.receivedLoads.keySet();
			assertThat(informed.size(), greaterThanOrEqualTo(INSTANCES - 1));
			UsageLimiterTests.this.receivedLoads.values().forEach((received) -> {
				assertThat(received.calls(), is(7));
				assertThat(received.ageMs(), lessThanOrEqualTo(1_000L));
			});
		}

		// Guards against all instances that restart together and then admit a burst each.
		@Test
		void enforcesRateAfterRestartOfAll() {
			start(INSTANCES, true);
			send(7 * RATE, 5_000);
			UsageLimiterTests.this.hosts.forEach(FakeHost::crash);
			UsageLimiterTests.this.limiters.clear();
			for (int i = 0; i < INSTANCES; i++) {
				startInstance(i, false);
			}
			UsageLimiterTests.this.timer.advance(500);
			assertThat((double) send(7 * RATE, 5_000), lessThanOrEqualTo(MAX_TOLERATED_REQUESTS));
		}

	}

	@Nested
	class InstanceRestart {

		// Guards against a burst that is granted again because a restarted instance does
		// not adopt the bucket levels of the others.
		@Test
		void adoptsBucketLevelsOfOtherInstances() {
			start(3, true);
			send(7 * RATE, 3_000);
			UsageLimiterTests.this.hosts.get(0).crash();
			UsageLimiter restarted = startInstance(0, false);
			UsageLimiterTests.this.timer.advance(150);
			int admitted = 0;
			while (admitted < RATE && admit(restarted, RequestStage.CONTINUING)) {
				admitted++;
			}
			assertThat((double) admitted, lessThanOrEqualTo(RATE * 0.4));
		}

	}

}
