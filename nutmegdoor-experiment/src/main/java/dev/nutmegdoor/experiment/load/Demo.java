package dev.nutmegdoor.experiment.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Runs a whole deployment in one process on real sockets: stand-ins, nine instances in
 * three zones, and callers; withdraws a key, lets an upstream leave, drains an instance
 * and kills another while the load runs.
 */
public final class Demo {

	private static final int INSTANCES_PER_ZONE = 3;

	private static final int MAX_CALLERS = 800;

	private static final int HEAVY_WORKSPACE = 3;

	private static final int WITHDRAWN_WORKSPACE = 6;

	private static final int DRAINED_INSTANCE = 4;

	private static final int KILLED_INSTANCE = 8;

	private static final long RELEASE_WAIT_MS = 5_000;

	private static final int CALIBRATION_RUNS = 3;

	private final DemoSettings settings;

	private final FleetFactory fleets;

	private final Consumer<String> progress;

	private final ExecutorService callers = new ThreadPoolExecutor(0, MAX_CALLERS, 10, TimeUnit.SECONDS,
			new SynchronousQueue<>());

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final Set<ProgramId> closedPrograms = WorkspaceLoad.newProgramSet();

	/**
	 * Creates a demonstration.
	 * @param settings settings of the run
	 * @param fleets starts the instances
	 * @param progress receives lines of progress
	 */
	public Demo(DemoSettings settings, FleetFactory fleets, Consumer<String> progress) {
		this.settings = settings;
		this.fleets = fleets;
		this.progress = progress;
	}

	/**
	 * Runs the demonstration.
	 * @return what was observed
	 * @throws InterruptedException if the thread is interrupted
	 */
	public DemoResult run() throws InterruptedException {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(this.settings.seed());
		List<DemoWorkspace> workspaces = DemoConfiguration.workspaces(random);
		UpstreamChecker watch = new UpstreamChecker(this.invariants, workspaces);
		LoadMetrics measures = new LoadMetrics();
		try (Upstreams upstreams = new Upstreams(this.settings.deployment(), this.settings.seed(), watch);
				CallerClient client = new CallerClient(measures, this.settings.deployment().clientDelayMs())) {
			Configuration configuration = DemoConfiguration.create(this.settings.deployment(), workspaces,
					upstreams.engineAddresses(), upstreams.serviceAddresses());
			try (Fleet fleet = this.fleets.start(configuration, DemoConfiguration.ZONES, INSTANCES_PER_ZONE)) {
				Balancer balancer = new Balancer(fleet.instances(), client, random.nextLong());
				LoadContext context = new LoadContext(this.settings.deployment(), client, balancer, measures, watch,
						this.invariants, fleet.isProgramPinned());
				ConfigurationChecker versions = new ConfigurationChecker(fleet.instances(), client, this.invariants);
				Future<?> polling = this.callers.submit(balancer::poll);
				Future<?> watching = this.callers.submit(versions::poll);
				calibrate(context, workspaces.get(0), random);
				measures.startRecording();
				load(context, workspaces, configuration, fleet, versions, random);
				polling.cancel(true);
				watching.cancel(true);
				finish(context, upstreams, workspaces);
				return result(context, fleet, workspaces);
			}
		}
		finally {
			this.callers.shutdownNow();
		}
	}

	// Runs each kind of program on the idle fleet, as the reference of slowdowns.
	private void calibrate(LoadContext context, DemoWorkspace workspace, UniformRandomProvider random)
			throws InterruptedException {
		this.progress.accept("calibrating on the idle fleet");
		List<Future<?>> runs = new ArrayList<>();
		for (int i = 0; i < CALIBRATION_RUNS; i++) {
			for (ProgramShape shape : context.deployment().programs()) {
				UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
				runs.add(this.callers.submit(() -> new ProgramCaller(context, workspace, shape, own).run()));
			}
		}
		await(runs);
	}

	private void load(LoadContext context, List<DemoWorkspace> workspaces, Configuration configuration, Fleet fleet,
			ConfigurationChecker versions, UniformRandomProvider random) throws InterruptedException {
		long startNs = System.nanoTime();
		long endNs = startNs + TimeUnit.SECONDS.toNanos(this.settings.seconds());
		List<Future<?>> arrivals = new ArrayList<>();
		for (int i = 0; i < workspaces.size(); i++) {
			WorkspaceLoad load = new WorkspaceLoad(context, workspaces.get(i), i == HEAVY_WORKSPACE, this.callers,
					random.nextLong(), this.closedPrograms);
			arrivals.add(this.callers.submit(() -> load.run(endNs)));
		}
		DemoEvents events = new DemoEvents(context, fleet, versions, this.invariants, this.progress);
		DemoWorkspace withdrawn = workspaces.get(WITHDRAWN_WORKSPACE);
		Configuration changed = DemoConfiguration.withLeaving(configuration, new UpstreamId("engine-6"));
		this.callers
			.execute(() -> events.run(startNs, this.settings.seconds(), withdrawn, changed, new UpstreamId("engine-6"),
					fleet.instances().get(DRAINED_INSTANCE), fleet.instances().get(KILLED_INSTANCE)));
		while (System.nanoTime() < endNs) {
			Thread.sleep(1_000);
			this.progress.accept(String.format("t=%ds requests=%d programs=%d abandoned=%d problems=%s",
					TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNs), context.measures().requests(),
					context.measures().programs(), context.measures().abandonedPrograms(),
					context.measures().problems()));
		}
		await(arrivals);
	}

	private static void await(List<Future<?>> futures) throws InterruptedException {
		for (Future<?> future : futures) {
			try {
				future.get();
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException("a caller failed", ex);
			}
		}
	}

	private void finish(LoadContext context, Upstreams upstreams, List<DemoWorkspace> workspaces)
			throws InterruptedException {
		this.progress.accept("waiting for running programs");
		this.callers.shutdown();
		boolean isDone = this.callers.awaitTermination(60, TimeUnit.SECONDS);
		if (!isDone) {
			context.measures().lost();
		}
		context.watch().checkLeaving();
		workspaces.forEach((workspace) -> context.rateOf(workspace).checkRate(this.invariants));
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELEASE_WAIT_MS);
		for (ProgramId program : this.closedPrograms) {
			while (upstreams.isCached(program) && System.nanoTime() < deadlineNs) {
				Thread.sleep(50);
			}
			this.invariants.check(Invariant.ENGINE_CACHE_RELEASED, !upstreams.isCached(program),
					() -> "closed program " + program + " still has a cached prefix");
		}
	}

	private DemoResult result(LoadContext context, Fleet fleet, List<DemoWorkspace> workspaces) {
		LoadMetrics measures = context.measures();
		DemoWorkspace heavy = workspaces.get(HEAVY_WORKSPACE);
		long withinRate = 0;
		long refused = 0;
		for (DemoWorkspace workspace : workspaces) {
			withinRate += context.rateOf(workspace).withinRate();
			refused += context.rateOf(workspace).refusedWithinRate(workspace.equals(heavy));
		}
		List<InvariantRegistry> registries = new ArrayList<>(fleet.invariants());
		registries.add(this.invariants);
		List<String> violations = registries.stream().flatMap((registry) -> registry.violations().stream()).toList();
		return new DemoResult(this.settings,
				new LatencySummary(measures.programLatencyMs(50), measures.programLatencyMs(95),
						measures.programLatencyMs(99)),
				measures.firstTokenMs(95), measures.betweenTokensMs(95), measures.wastedCacheFraction(),
				measures.slowdowns(heavy.id()), measures.requests(), withinRate, refused, measures.programs(),
				measures.abandonedPrograms(), measures.problems(), measures.lostCalls(), context.watch().duplicated(),
				DemoResult.sum(registries, false), DemoResult.sum(registries, true), violations);
	}

}
